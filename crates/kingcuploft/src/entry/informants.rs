//! Which other VMs a VM asks for all that they know, while it lacks something that it can't get from the store.
//!
//! Load pattern: VMs come back together, and the store does not list what they lack. The VM that their zone's record
//! names first came back too, and those that follow it would wait for as long as it does. So each asks one VM after the
//! other: those that have said that they know all, those that its zone's record names, then some of other zones.
//! Hundreds may ask the few that records name, which may know nothing either: each round asks a few, and the rounds
//! become rarer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::readers::Readers;
use super::vm_entry::VmEntry;
use crate::planted::{self, PlantedFault};

/// The pause after the first round; each further round adds as much.
const PAUSE_STEP: Duration = Duration::from_millis(400);

/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The most VMs of other zones that are asked in a round.
const MAX_OF_OTHER_ZONES: usize = 3;

/// The most VMs that are remembered as knowing all.
const MAX_INFORMED: usize = 8;

/// What a VM that lacks something does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextInformant {
    /// Ask this VM.
    Ask(VmEntry),
    /// Ask no VM until this moment, unless one says that it knows all.
    WaitUntil(Instant),
}

/// The VMs that are asked.
#[derive(Debug, Default)]
pub struct Informants {
    /// Those that have said that they know all, the latest last.
    informed: Vec<VmEntry>,
    to_ask: VecDeque<VmEntry>,
    rounds: u32,
    next_round_at: Option<Instant>,
}

impl Informants {
    /// Records that a VM has said that it knows all; it is asked next.
    pub fn record_informed(&mut self, vm: VmEntry) {
        if planted::is_on(PlantedFault::AsksFirstOfZone) {
            return;
        }
        self.informed.retain(|known| known.name != vm.name);
        if self.informed.len() == MAX_INFORMED {
            self.informed.remove(0);
        }
        self.informed.push(vm);
    }

    /// Begins anew: this VM knows all.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns what the VM `own` does next, by the records that it knows.
    pub fn next(&mut self, now: Instant, own: &VmEntry, readers: &Readers) -> NextInformant {
        if let Some(informed) = self.informed.pop() {
            return NextInformant::Ask(informed);
        }
        let pausing_until = self.next_round_at.filter(|_| self.to_ask.is_empty());
        if let Some(until) = pausing_until.filter(|until| now < *until) {
            return NextInformant::WaitUntil(until);
        }
        if self.to_ask.is_empty() {
            self.begin_round(now, own, readers);
        }
        match self.to_ask.pop_front() {
            Some(vm) => NextInformant::Ask(vm),
            None => NextInformant::WaitUntil(now + PAUSE_STEP),
        }
    }

    fn begin_round(&mut self, now: Instant, own: &VmEntry, readers: &Readers) {
        let records = readers.records();
        let (near, far): (Vec<_>, Vec<_>) = records.iter().partition(|r| r.zone == own.zone);
        let near = near.into_iter().flat_map(|record| &record.vms);
        let near = near.filter(|vm| vm.name != own.name);
        let far: Vec<_> = far.into_iter().flat_map(|record| &record.vms).collect();
        let skipped = self.rounds as usize * MAX_OF_OTHER_ZONES;
        let far_count = far.len().min(MAX_OF_OTHER_ZONES);
        let far = far.into_iter().cycle().skip(skipped).take(far_count);
        self.to_ask = near.chain(far).cloned().collect();
        if planted::is_on(PlantedFault::AsksFirstOfZone) {
            self.to_ask.truncate(1);
        }
        self.rounds = self.rounds.saturating_add(1);
        self.next_round_at = Some(now + (PAUSE_STEP * self.rounds).min(MAX_PAUSE));
    }
}
