//! A configuration that another VM tells part by part.
//!
//! Failure: the link breaks in the middle, and a VM that begins anew each time never has all. The guard: what has arrived
//! is kept, and the VM that it comes from, or another, goes on with the next part.

use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, ConfigurationVersion};
use super::configuration_change::{ChangePart, ConfigurationChange, PartError};

/// What has arrived of a change.
#[derive(Debug, Default)]
pub struct ChangeAssembler {
    begun: Option<Begun>,
}

#[derive(Debug)]
struct Begun {
    change: ConfigurationChange,
    parts: u32,
}

/// How much of a change a VM has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssemblyProgress {
    /// The version that the change begins at; none for one that tells all.
    pub from: Option<ConfigurationVersion>,
    /// The version that it leads to.
    pub to: ConfigurationVersion,
    /// How many of its parts there are.
    pub parts: u32,
}

/// What a part brought.
#[derive(Debug)]
pub enum PartOutcome {
    /// More parts follow.
    Incomplete,
    /// The configuration is whole.
    Complete(Box<Configuration>),
    /// It is in force already, or a newer one is.
    AlreadyApplied,
    /// It does not lead on from what this VM has: all has to be told.
    Mismatch,
}

impl ChangeAssembler {
    /// Takes a part in, beside the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the part can't be read.
    pub fn add_part(
        &mut self,
        part: ChangePart,
        current: Option<&Configuration>,
    ) -> Result<PartOutcome, PartError> {
        if current.is_some_and(|current| current.version >= part.to) {
            return Ok(PartOutcome::AlreadyApplied);
        }
        if part.at == 0 {
            self.begun = Some(Begun {
                change: ConfigurationChange::begin(&part),
                parts: 0,
            });
        }
        let is_next = |begun: &&mut Begun| {
            let change = &begun.change;
            (change.from, change.to, begun.parts) == (part.from, part.to, part.at)
        };
        let Some(begun) = self.begun.as_mut().filter(is_next) else {
            return Ok(PartOutcome::Mismatch);
        };
        begun.parts += 1;
        if !begun.change.extend(part)? {
            return Ok(PartOutcome::Incomplete);
        }
        let change = self.begun.take().map(|begun| begun.change);
        let whole = change.and_then(|change| change.apply(current));
        Ok(whole.map_or(PartOutcome::Mismatch, |whole| {
            PartOutcome::Complete(Box::new(whole))
        }))
    }

    /// Returns how much of a change has arrived.
    pub fn progress(&self) -> Option<AssemblyProgress> {
        self.begun.as_ref().map(|begun| AssemblyProgress {
            from: begun.change.from,
            to: begun.change.to,
            parts: begun.parts,
        })
    }

    /// Forgets what has arrived.
    pub fn reset(&mut self) {
        self.begun = None;
    }
}
