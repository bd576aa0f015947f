//! For how much longer a server is cold, by what it or another writer says.
//!
//! Load pattern: an entry, an answer or a datagram names a time that no start takes. Added to the present it is beyond what
//! a clock can hold, which must end no task that other servers depend on.

use std::time::Duration;

/// The longest time for which a server is taken to be cold: starts take seconds.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Returns the time that is believed.
pub fn bounded(told: Duration) -> Duration {
    told.min(MAX_COLD_TIME)
}

/// Returns whether an entry may name this time; one that may not is unreadable.
pub fn is_credible(told: Duration) -> bool {
    told <= MAX_COLD_TIME
}
