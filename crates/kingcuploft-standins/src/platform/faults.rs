//! The faults of the simulated platform store, scripted by a test or drawn from a seed.

use std::collections::VecDeque;
use std::time::Duration;

/// What callers see during an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Each call is answered 503.
    Unavailable,
    /// Each connection is closed without an answer.
    Closed,
    /// No call is answered.
    Silence,
}

/// A fault of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFault {
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write does not take effect and its connection is closed.
    LostRequest,
    /// The write is applied after this time, and its connection is closed at once.
    Delayed(Duration),
    /// The write is applied and answered after this time.
    Slow(Duration),
}

/// The current faults; a test can replace them at any time.
#[derive(Clone, Debug)]
pub struct Faults {
    /// An outage of the object API and the VM list.
    pub outage: Option<Outage>,
    /// A delay before each call is handled.
    pub delay: Duration,
    /// The share of the writes that take effect and whose answer is lost.
    pub lost_answer_share: f64,
    /// The share of the writes that are applied only after `delayed_by`, without an answer.
    pub delayed_write_share: f64,
    /// The time after which a delayed write is applied.
    pub delayed_by: Duration,
    /// The share of the reads of one object that return an earlier revision.
    pub stale_read_share: f64,
    /// How many revisions of its object a stale read lags behind.
    pub stale_by: usize,
    /// Whether watches are never answered.
    pub stalled_watch: bool,
    /// Whether every watch fails because its revision is too old.
    pub expired_watch: bool,
    /// The number of changes that are kept; a watch from an earlier revision fails.
    pub history: usize,
    /// The age of the VM list that is returned.
    pub vms_lag: Duration,
    /// The maximum number of writes per second; further ones are answered 429.
    pub writes_per_s: Option<u32>,
    /// The maximum number of reads per second; further ones are answered 429.
    pub reads_per_s: Option<u32>,
    /// The scripted faults of the next writes, in order, each with the prefix that the key of its write must have.
    pub next_writes: VecDeque<(String, WriteFault)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: None,
            delay: Duration::ZERO,
            lost_answer_share: 0.0,
            delayed_write_share: 0.0,
            delayed_by: Duration::from_millis(50),
            stale_read_share: 0.0,
            stale_by: 1,
            stalled_watch: false,
            expired_watch: false,
            history: 10_000,
            vms_lag: Duration::ZERO,
            writes_per_s: None,
            reads_per_s: None,
            next_writes: VecDeque::new(),
        }
    }
}

impl Faults {
    /// Draws random faults: an outage one time in three, and delays, stale data and shares of faulty writes.
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        let outages = [Outage::Unavailable, Outage::Closed, Outage::Silence];
        let outage = (rng.u8(0..3) == 0).then(|| outages[rng.usize(0..outages.len())]);
        Self {
            outage,
            delay: Duration::from_millis(rng.u64(0..40)),
            lost_answer_share: rng.f64() * 0.2,
            delayed_write_share: rng.f64() * 0.1,
            delayed_by: Duration::from_millis(rng.u64(1..400)),
            stale_read_share: rng.f64() * 0.3,
            stale_by: rng.usize(1..4),
            stalled_watch: rng.u8(0..4) == 0,
            expired_watch: rng.u8(0..8) == 0,
            vms_lag: Duration::from_millis(rng.u64(0..2000)),
            ..Self::default()
        }
    }

    /// Returns the fault of a write to this key, if any: the next scripted one if its prefix matches, else a random
    /// one.
    pub(super) fn write_fault(&mut self, key: &str, rng: &mut fastrand::Rng) -> Option<WriteFault> {
        let scripted = self.next_writes.front();
        if scripted.is_some_and(|(prefix, _)| key.starts_with(prefix.as_str())) {
            return self.next_writes.pop_front().map(|(_, fault)| fault);
        }
        if rng.f64() < self.lost_answer_share {
            return Some(WriteFault::LostAnswer);
        }
        (rng.f64() < self.delayed_write_share).then_some(WriteFault::Delayed(self.delayed_by))
    }
}
