//! Assembles a configuration change that another VM sends in parts.
//!
//! Failure: the link breaks in the middle of a transfer, and a VM that starts over each time never gets the whole. The
//! guard: received parts are kept, and the sender, or another VM, resumes with the next part.

use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, ConfigurationVersion};
use super::configuration_change::{ChangePart, ConfigurationChange, PartError};

/// The parts received so far of a change.
#[derive(Debug, Default)]
pub struct ChangeAssembler {
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    change: ConfigurationChange,
    parts: u32,
}

/// How much of a change a VM has received.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssemblyProgress {
    /// The version that the change applies to; none for a full configuration.
    pub from: Option<ConfigurationVersion>,
    /// The version that the change leads to.
    pub to: ConfigurationVersion,
    /// The number of parts received.
    pub parts: u32,
}

/// The result of adding a part.
#[derive(Debug)]
pub enum PartOutcome {
    /// More parts follow.
    Incomplete,
    /// The configuration is complete.
    Complete(Box<Configuration>),
    /// The same or a newer version is already in force.
    AlreadyApplied,
    /// The part does not continue what this VM has; the full configuration must be sent.
    Mismatch,
}

impl ChangeAssembler {
    /// Adds a part; `current` is the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the part can't be decoded.
    pub fn add_part(
        &mut self,
        part: ChangePart,
        current: Option<&Configuration>,
    ) -> Result<PartOutcome, PartError> {
        if current.is_some_and(|current| current.version >= part.to) {
            return Ok(PartOutcome::AlreadyApplied);
        }
        if part.at == 0 {
            self.partial = Some(Partial {
                change: ConfigurationChange::begin(&part),
                parts: 0,
            });
        }
        let is_next = |partial: &&mut Partial| {
            let change = &partial.change;
            (change.from, change.to, partial.parts) == (part.from, part.to, part.at)
        };
        let Some(partial) = self.partial.as_mut().filter(is_next) else {
            return Ok(PartOutcome::Mismatch);
        };
        partial.parts += 1;
        if !partial.change.extend(part)? {
            return Ok(PartOutcome::Incomplete);
        }
        let change = self.partial.take().map(|partial| partial.change);
        let whole = change.and_then(|change| change.apply(current));
        Ok(whole.map_or(PartOutcome::Mismatch, |whole| {
            PartOutcome::Complete(Box::new(whole))
        }))
    }

    /// Returns how much of a change has been received.
    pub fn progress(&self) -> Option<AssemblyProgress> {
        self.partial.as_ref().map(|partial| AssemblyProgress {
            from: partial.change.from,
            to: partial.change.to,
            parts: partial.parts,
        })
    }

    /// Discards the received parts.
    pub fn reset(&mut self) {
        self.partial = None;
    }
}
