//! A store in memory with faults that can be switched on.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::era::{self, Era, era_of, revision_of};
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::AvailabilityZone;
use kingcuploft_entry::store::{
    ChangeCheck, Changes, Collection, Page, Record, Revision, Store, StoreChange, StoreError,
    WriteOutcome, ZoneWrite,
};
use tokio::sync::Notify;

use crate::lost_answers::LostAnswers;
use crate::store_lists::StoreLists;

/// The contents of the store and its faults, shared between the clients and the test.
#[derive(Debug, Default)]
pub struct StoreState {
    /// The configuration.
    pub configuration: RefCell<Option<Configuration>>,
    /// The backend servers.
    pub servers: RefCell<Vec<BackendServer>>,
    /// The zone records.
    pub zones: RefCell<Vec<ZoneRecord>>,
    /// The notices.
    pub notices: RefCell<Vec<Notice>>,
    /// The evacuated zones.
    pub evacuations: RefCell<Vec<AvailabilityZone>>,
    /// Whether calls hang, waiting watches included; a call that hangs never returns, even after the fault has ended.
    pub silent: Cell<bool>,
    /// How many more watch calls panic in the client.
    pub watch_panics: Cell<u32>,
    /// Whether writes are refused.
    pub refuses_writes: Cell<bool>,
    /// Watches from before this revision are answered with "history gone".
    pub compacted_until: Cell<Revision>,
    /// Whether lists of the zone records hang.
    pub zone_list_hangs: Cell<bool>,
    /// The most changes in the answer to one watch; unlimited if zero.
    pub max_changes: Cell<usize>,
    /// The number of watch calls.
    pub watch_calls: Cell<u32>,
    /// The number of list calls.
    pub list_calls: Cell<u32>,
    /// The number of calls that list the backend servers.
    pub server_list_calls: Cell<u32>,
    /// The number of calls that write a zone record.
    pub zone_write_calls: Cell<u32>,
    /// How lists are answered.
    pub lists: StoreLists,
    pub(crate) changes: RefCell<Vec<(u64, Collection, StoreChange)>>,
    pub(crate) revision: Cell<u64>,
    /// How often the store was restored from a snapshot.
    pub(crate) era: Cell<Era>,
    /// The answers to watches that are lost.
    pub lost_answers: LostAnswers,
    /// How often waiting watches were cut.
    watch_cuts: Cell<u32>,
    /// Whether the store leaves out eras, so that revisions of another era pass for those of this one.
    pub ignores_eras: Cell<bool>,
    pub(crate) changed: Notify,
}

impl StoreState {
    /// Writes the configuration.
    pub fn write_configuration(&self, configuration: Configuration) {
        *self.configuration.borrow_mut() = Some(configuration.clone());
        let record = Record::Configuration(Box::new(configuration));
        self.record_change(Collection::Configuration, StoreChange::Written(record));
    }

    /// Writes the entry of a backend server.
    pub fn write_backend_server(&self, server: BackendServer) {
        let mut servers = self.servers.borrow_mut();
        servers.retain(|known| known.name != server.name);
        servers.push(server.clone());
        drop(servers);
        let record = Record::BackendServer(server);
        self.record_change(Collection::BackendServers, StoreChange::Written(record));
    }

    /// Removes the entry of a backend server.
    pub fn remove_backend_server(&self, name: &str) {
        let mut servers = self.servers.borrow_mut();
        servers.retain(|known| &*known.name != name);
        drop(servers);
        self.record_change(
            Collection::BackendServers,
            StoreChange::Removed(name.into()),
        );
    }

    /// Cuts the watches that are waiting.
    pub fn cut_watches(&self) {
        self.watch_cuts.set(self.watch_cuts.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns whether the store holds this server, this evacuation and this configuration version.
    pub fn holds(&self, server: &str, zone: &str, version: u64) -> [bool; 3] {
        let configuration = self.configuration.borrow();
        [
            self.servers.borrow().iter().any(|s| *s.name == *server),
            self.evacuations.borrow().iter().any(|z| **z == *zone),
            configuration.as_ref().map(|c| c.version) == Some(version),
        ]
    }

    /// Returns the current revision, together with the era unless eras are left out.
    pub(crate) fn current_revision(&self) -> Revision {
        self.with_era(self.revision.get())
    }

    fn with_era(&self, revision: u64) -> Revision {
        match self.ignores_eras.get() {
            true => revision,
            false => era::moment(self.era.get(), revision),
        }
    }

    /// Writes that a zone is evacuated, or that its evacuation has ended.
    pub fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        self.evacuations
            .borrow_mut()
            .retain(|known| **known != *zone);
        let change = match is_evacuated {
            true => {
                self.evacuations.borrow_mut().push(zone.into());
                StoreChange::Written(Record::Evacuation(zone.into()))
            }
            false => StoreChange::Removed(zone.into()),
        };
        self.record_change(Collection::Evacuations, change);
    }

    /// Advances the revision without a change that anybody watches.
    pub fn advance_revision(&self, by: u64) {
        self.revision.set(self.revision.get() + by);
    }

    pub(crate) fn record_change(&self, collection: Collection, change: StoreChange) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.lost_answers.record_change(collection, revision);
        self.changes
            .borrow_mut()
            .push((revision, collection, change));
        self.changed.notify_waiters();
    }

    /// Returns the changes since a revision that one answer holds, and the revision up to which it holds all.
    fn changes_since(&self, collection: Collection, from: u64) -> (Vec<StoreChange>, u64) {
        let changes = self.changes.borrow();
        let newer = changes
            .iter()
            .filter(|(r, c, _)| *r > from && *c == collection);
        let most = match self.max_changes.get() {
            0 => usize::MAX,
            most => most,
        };
        let (mut held, mut up_to) = (Vec::new(), self.revision.get());
        for (revision, _, change) in newer {
            held.push(change.clone());
            if held.len() == most {
                up_to = *revision;
                break;
            }
        }
        (held, up_to)
    }

    /// Fails if the store does not hold the history from a revision on.
    fn check_history(&self, from: Revision) -> Result<(), StoreError> {
        let from = revision_of(from);
        match from < self.compacted_until.get() || from > self.revision.get() {
            true => Err(StoreError::HistoryGone),
            false => Ok(()),
        }
    }

    /// Fails if a revision belongs to another era.
    fn check_era(&self, from: Revision) -> Result<(), StoreError> {
        match era_of(from) != self.era.get() && !self.ignores_eras.get() {
            true => Err(StoreError::HistoryGone),
            false => Ok(()),
        }
    }

    fn panic_if_told(&self) {
        let left = self.watch_panics.get();
        self.watch_panics.set(left.saturating_sub(1));
        assert!(left == 0, "a fault of the program");
    }

    async fn hang_if_silent(&self) {
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
    }
}

/// A client of the store.
#[derive(Clone, Debug, Default)]
pub struct TestStore(
    /// The contents of the store.
    pub Rc<StoreState>,
    /// Whether the store refuses all calls of this client.
    pub Rc<Cell<bool>>,
);

impl TestStore {
    /// Returns a further client of a store.
    pub fn client_of(state: &Rc<StoreState>) -> Self {
        Self(state.clone(), Rc::default())
    }

    /// Returns a client of the same store that can be refused on its own.
    pub fn separate_client(other: &Self) -> Self {
        Self(other.0.clone(), Rc::default())
    }

    fn check_admitted(&self) -> Result<(), StoreError> {
        match self.1.get() {
            true => Err(StoreError::Refused(503)),
            false => Ok(()),
        }
    }
}

impl Store for TestStore {
    async fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        _stale: bool,
    ) -> Result<Page, StoreError> {
        let state = &self.0;
        self.check_admitted()?;
        state.hang_if_silent().await;
        state.list_calls.set(state.list_calls.get() + 1);
        match collection {
            Collection::BackendServers => {
                let calls = state.server_list_calls.get();
                state.server_list_calls.set(calls + 1);
            }
            Collection::Zones if state.zone_list_hangs.get() => {
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        state.page(collection, after)
    }

    async fn read_configuration(&self) -> Result<Option<Record>, StoreError> {
        let state = &self.0;
        self.check_admitted()?;
        state.hang_if_silent().await;
        let configuration = state.configuration.borrow().clone();
        Ok(configuration.map(|c| Record::Configuration(Box::new(c))))
    }

    async fn probe_liveness(&self) -> Result<Revision, StoreError> {
        self.check_admitted()?;
        self.0.hang_if_silent().await;
        Ok(self.0.current_revision())
    }

    async fn check_changes(
        &self,
        collection: Collection,
        since: Revision,
        _stale: bool,
    ) -> Result<ChangeCheck, StoreError> {
        let state = &self.0;
        self.check_admitted()?;
        state.hang_if_silent().await;
        state.check_history(since)?;
        state.check_era(since)?;
        let (changes, up_to) = state.changes_since(collection, revision_of(since));
        Ok(match changes.is_empty() {
            true => ChangeCheck::UnchangedUntil(state.with_era(up_to)),
            false => ChangeCheck::Changed,
        })
    }

    fn last_received_at(&self, _: Collection) -> Option<std::time::Instant> {
        None
    }

    async fn write_zone_record(
        &self,
        record: &ZoneRecord,
        how: ZoneWrite,
    ) -> Result<WriteOutcome, StoreError> {
        self.check_admitted()?;
        self.0.hang_if_silent().await;
        self.0
            .zone_write_calls
            .set(self.0.zone_write_calls.get() + 1);
        if self.0.refuses_writes.get() {
            return Err(StoreError::Refused(429));
        }
        let mut zones = self.0.zones.borrow_mut();
        let at = zones.iter().position(|known| known.zone == record.zone);
        match (how, at) {
            (ZoneWrite::Create, Some(_)) => Ok(WriteOutcome::AlreadyExists),
            (ZoneWrite::Replace, None) => Ok(WriteOutcome::NotFound),
            (ZoneWrite::Create, None) => {
                zones.push(record.clone());
                Ok(WriteOutcome::Done)
            }
            (ZoneWrite::Replace, Some(at)) => {
                zones[at] = record.clone();
                Ok(WriteOutcome::Done)
            }
        }
    }

    async fn create_notice(&self, notice: &Notice) -> Result<WriteOutcome, StoreError> {
        self.check_admitted()?;
        self.0.hang_if_silent().await;
        let mut notices = self.0.notices.borrow_mut();
        if notices.iter().any(|known| known.id() == notice.id()) {
            return Ok(WriteOutcome::AlreadyExists);
        }
        notices.push(notice.clone());
        drop(notices);
        let record = Record::Notice(notice.clone());
        self.0
            .record_change(Collection::Notices, StoreChange::Written(record));
        Ok(WriteOutcome::Done)
    }

    async fn delete_notice(&self, id: &str) -> Result<(), StoreError> {
        self.check_admitted()?;
        self.0.hang_if_silent().await;
        self.0.notices.borrow_mut().retain(|known| known.id() != id);
        self.0
            .record_change(Collection::Notices, StoreChange::Removed(id.into()));
        Ok(())
    }

    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let state = &self.0;
        self.check_admitted()?;
        state.hang_if_silent().await;
        state.watch_calls.set(state.watch_calls.get() + 1);
        state.panic_if_told();
        let (started_in, cuts) = (state.era.get(), state.watch_cuts.get());
        let waits_since = state.revision.get();
        state.check_history(from)?;
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = state.changed.notified();
            // A watch that waited while the store was silent never returns.
            state.hang_if_silent().await;
            let reached = state.revision.get();
            if state.lost_answers.is_lost(collection, waits_since, reached) {
                std::future::pending::<()>().await;
            }
            self.check_admitted()?;
            if state.watch_cuts.get() != cuts {
                return Err(StoreError::NoAnswer("the watch was cut".into()));
            }
            // A restore ends the waiting watches with an error.
            if state.era.get() != started_in && !state.ignores_eras.get() {
                return Err(StoreError::HistoryGone);
            }
            state.check_era(from)?;
            let (changes, up_to) = state.changes_since(collection, revision_of(from));
            if !changes.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(Changes {
                    changes,
                    revision: state.with_era(up_to),
                });
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}
