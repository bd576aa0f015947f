//! Rewinds of the store, that is restores from an older copy: its era as this VM knows it, and the notices withdrawn
//! lately, which a copy may bring back.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use kingcuploft::entry::era::Era;
use kingcuploft::entry::evacuations::REWRITE_GRACE;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::utils::HashMap;

/// How long withdrawn notices are remembered: longer than a copy is old.
const WITHDRAWAL_RETENTION: Duration = Duration::from_secs(60);

/// The store's era, and the notices that a copy of the store may still hold after their withdrawal.
#[derive(Debug, Default)]
pub struct Rewinds {
    era: Cell<Option<Era>>,
    count: Cell<u32>,
    last_rewind: Cell<Option<Instant>>,
    withdrawn: RefCell<HashMap<NoticeId, Instant>>,
}

/// The result of learning the store's era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraUpdate {
    /// The store has been restored from an older copy since this VM knew its era.
    Rewound,
    /// The era is not newer, or the first that this VM learns.
    Known,
}

impl Rewinds {
    /// Returns the store's era, if it is known.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Returns how often the store has been restored from an older copy since this VM started.
    pub fn count(&self) -> u32 {
        self.count.get()
    }

    /// Records an era that the store has reached.
    pub fn observe_era(&self, now: Instant, era: Era) -> EraUpdate {
        let before = self.era.get();
        if before.is_some_and(|before| before >= era) {
            return EraUpdate::Known;
        }
        self.era.set(Some(era));
        if before.is_none() {
            return EraUpdate::Known;
        }
        self.last_rewind.set(Some(now));
        self.count.set(self.count.get() + 1);
        EraUpdate::Rewound
    }

    /// Returns whether the store may still lack what was written after its copy was made.
    pub fn may_lack_writes(&self, now: Instant) -> bool {
        let last_rewind = self.last_rewind.get();
        last_rewind.is_some_and(|at| now.saturating_duration_since(at) < REWRITE_GRACE)
    }

    /// Records that a notice was withdrawn: a copy may still hold it.
    pub fn note_withdrawn(&self, now: Instant, id: &NoticeId) {
        let mut withdrawn = self.withdrawn.borrow_mut();
        withdrawn.retain(|_, at| now.saturating_duration_since(*at) < WITHDRAWAL_RETENTION);
        withdrawn.insert(id.clone(), now);
    }

    /// Returns whether a notice in the store was withdrawn before and is back from a copy.
    pub fn is_restored_withdrawal(&self, now: Instant, id: &str) -> bool {
        self.may_lack_writes(now) && self.withdrawn.borrow().contains_key(id)
    }
}
