//! Positions in the history of a store that may be restored from an older copy.
//!
//! Failure: the store loses its last seconds, its revisions go back and are reused for other contents. A VM that
//! continues from an earlier revision misses changes, and takes other contents for known ones. So a position starts
//! with the era, which rises with each restore: a later era is later whatever its revision, and data of another era is
//! rejected.

/// The number of times that the store was restored from a copy; 0 if it does not say.
pub type Era = u64;

/// A position in the store's history: era and revision in one number; greater is later.
pub type Moment = u64;

/// Number of low bits of a moment that hold the revision.
const REVISION_BITS: u32 = 44;

/// Returns the moment of a revision in an era.
pub fn moment(era: Era, revision: u64) -> Moment {
    era << REVISION_BITS | revision & revision_mask()
}

/// Returns the era of a moment.
pub fn era_of(moment: Moment) -> Era {
    moment >> REVISION_BITS
}

/// Returns the revision of a moment, within its era.
pub fn revision_of(moment: Moment) -> u64 {
    moment & revision_mask()
}

fn revision_mask() -> u64 {
    (1 << REVISION_BITS) - 1
}
