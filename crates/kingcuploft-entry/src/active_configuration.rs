//! The configuration in force, the changes that led to it, and the arrival of the next one.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::change_assembly::{AssemblyProgress, ChangeAssembler, PartOutcome};
use kingcuploft::entry::change_log::ChangeLog;
use kingcuploft::entry::configuration::{Configuration, ConfigurationVersion};
use kingcuploft::entry::configuration_change::{ChangePart, ConfigurationChange, PartError};
use kingcuploft::planted::{self, PlantedFault};
use tokio::sync::Notify;

use crate::clock;

/// The configuration in force, its change log, and the parts of the next configuration that have arrived.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    current: RefCell<Option<Arc<Configuration>>>,
    adopted_at: Cell<Option<Instant>>,
    change_log: RefCell<ChangeLog>,
    assembler: RefCell<ChangeAssembler>,
    needs_full_configuration: Cell<bool>,
    newest: Cell<Option<(ConfigurationVersion, Instant)>>,
    /// Wakes tasks that wait for a configuration to come into force.
    pub adopted_notify: Notify,
}

impl ActiveConfiguration {
    /// Returns the configuration in force, if one is known.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force, if one is known.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.current.borrow().as_ref().map(|c| c.version)
    }

    /// Returns how long the configuration has been in force; zero if none is.
    pub fn age(&self) -> Duration {
        let adopted_at = self.adopted_at.get();
        adopted_at.map_or(Duration::ZERO, |at| {
            clock::now().saturating_duration_since(at)
        })
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it was.
    pub fn adopt(&self, mut configuration: Configuration) -> bool {
        let mut current = self.current.borrow_mut();
        let (version, routes) = (configuration.version, configuration.route_count());
        let keeps_old = current.is_some() && planted::is_on(PlantedFault::KeepsOldConfiguration);
        if keeps_old || current.as_ref().is_some_and(|c| c.version >= version) {
            return false;
        }
        if let Some(old) = &*current {
            configuration.share_routes(old);
            let change = ConfigurationChange::between(old, &configuration);
            self.change_log.borrow_mut().push(change, routes);
        }
        *current = Some(Arc::new(configuration));
        self.needs_full_configuration.set(false);
        self.adopted_at.set(Some(clock::now()));
        self.adopted_notify.notify_waiters();
        true
    }

    /// Returns the changes from `version` to the configuration in force, or one change that holds the whole
    /// configuration if the change log does not reach back to `version`.
    pub fn changes_since(
        &self,
        version: Option<ConfigurationVersion>,
    ) -> Vec<Arc<ConfigurationChange>> {
        let Some(current) = self.current() else {
            return Vec::new();
        };
        if version.is_some_and(|version| version >= current.version) {
            return Vec::new();
        }
        let known = version.and_then(|version| self.change_log.borrow().since(version));
        known.unwrap_or_else(|| vec![Arc::new(ConfigurationChange::whole(&current))])
    }

    /// Adds a part of the next configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the part can't be read.
    pub fn add_part(&self, part: ChangePart) -> Result<PartOutcome, PartError> {
        let current = self.current();
        let outcome = self
            .assembler
            .borrow_mut()
            .add_part(part, current.as_deref())?;
        if matches!(outcome, PartOutcome::Mismatch) {
            self.needs_full_configuration.set(true);
            self.assembler.borrow_mut().reset();
        }
        Ok(outcome)
    }

    /// Returns the version on which a delta from another VM may build, or `None` if this VM needs the whole
    /// configuration.
    pub fn delta_base(&self) -> Option<ConfigurationVersion> {
        self.version()
            .filter(|_| !self.needs_full_configuration.get())
    }

    /// Returns how much of the next configuration has arrived.
    pub fn arrival_progress(&self) -> Option<AssemblyProgress> {
        self.assembler.borrow().progress()
    }

    /// Records that a version exists; returns whether that was unknown.
    pub fn note_version(&self, version: ConfigurationVersion) -> bool {
        let newest = self.newest.get();
        let is_news = newest.is_none_or(|(newest, _)| newest < version);
        if is_news {
            self.newest.set(Some((version, clock::now())));
        }
        is_news
    }

    /// Returns the newest version that is known to exist.
    pub fn newest(&self) -> Option<ConfigurationVersion> {
        self.newest.get().map(|(newest, _)| newest)
    }

    /// Returns for how long a version newer than the one in force has been known to exist, or `None` if the one in
    /// force is the newest.
    pub fn stale_for(&self) -> Option<Duration> {
        let (newest, since) = self.newest.get()?;
        let is_behind = self.version().is_none_or(|version| version < newest);
        is_behind.then(|| clock::now().saturating_duration_since(since))
    }
}
