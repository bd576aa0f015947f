//! The store's era as this VM knows it, and what was withdrawn from the store lately.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use kingcuploft::entry::era::Era;
use kingcuploft::entry::evacuations::REWRITTEN_WITHIN;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::utils::HashMap;

/// How long it is remembered what was withdrawn: longer than a copy is old.
const WITHDRAWAL_RETENTION: Duration = Duration::from_secs(60);

/// The store's era, and what a copy of it may lack or have too much.
#[derive(Debug, Default)]
pub struct Rewinds {
    era: Cell<Option<Era>>,
    count: Cell<u32>,
    last_rewind: Cell<Option<Instant>>,
    withdrawn: RefCell<HashMap<NoticeId, Instant>>,
}

/// What hearing of an era came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraUpdate {
    /// The store has come back from a copy since this VM knew it.
    Rewound,
    /// It has not, or this VM knew nothing of it.
    Known,
}

impl Rewinds {
    /// Returns the store's era, if it is known.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Returns how often the store has come back from a copy since this VM started.
    pub fn count(&self) -> u32 {
        self.count.get()
    }

    /// Takes in an era that the store has reached.
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

    /// Returns whether what was written since the copy may still be missing in the store.
    pub fn may_lack_writes(&self, now: Instant) -> bool {
        let last_rewind = self.last_rewind.get();
        last_rewind.is_some_and(|at| now.saturating_duration_since(at) < REWRITTEN_WITHIN)
    }

    /// Takes note that a notice holds no longer: a copy may still have it.
    pub fn note_withdrawn(&self, now: Instant, id: &NoticeId) {
        let mut withdrawn = self.withdrawn.borrow_mut();
        withdrawn.retain(|_, at| now.saturating_duration_since(*at) < WITHDRAWAL_RETENTION);
        withdrawn.insert(id.clone(), now);
    }

    /// Returns whether a notice that the store has was withdrawn, and is back from a copy.
    pub fn is_restored_withdrawal(&self, now: Instant, id: &str) -> bool {
        self.may_lack_writes(now) && self.withdrawn.borrow().contains_key(id)
    }
}
