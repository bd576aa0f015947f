//! The faults of the platform stand-in, scripted by a test or drawn from a seed.

use std::collections::VecDeque;
use std::time::Duration;

/// How an outage shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Each call is answered 503.
    Unavailable,
    /// Each connection is closed without an answer.
    Closed,
    /// No call is ever answered.
    Silence,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFault {
    /// It takes effect and its answer is lost.
    LostAnswer,
    /// It does not take effect and its connection is closed.
    LostRequest,
    /// It is applied after this time; its connection is closed at once.
    Delayed(Duration),
    /// It waits for this time before it is applied and answered.
    Slow(Duration),
}

/// The faults in force; a test replaces them while it runs.
#[derive(Clone, Debug)]
pub struct Faults {
    /// An outage of the object API and the VM list.
    pub outage: Option<Outage>,
    /// Time that each call takes.
    pub delay: Duration,
    /// Share of the writes that take effect and whose answer is lost.
    pub lost_answer_share: f64,
    /// Share of the writes that are applied only after `delayed_by`, without an answer.
    pub delayed_write_share: f64,
    /// How late a delayed write is applied.
    pub delayed_by: Duration,
    /// Share of the reads of one object that return an earlier revision.
    pub stale_read_share: f64,
    /// How many revisions of its object a stale read is late.
    pub stale_by: usize,
    /// Whether no watch is ever answered.
    pub stalled_watch: bool,
    /// Whether each watch is told that its revision is too old.
    pub expired_watch: bool,
    /// How many changes are kept; an older watch lapses.
    pub history: usize,
    /// How far the VM list lags.
    pub vms_lag: Duration,
    /// The most writes in a second, the rest is answered 429.
    pub writes_per_s: Option<u32>,
    /// The most reads in a second, the rest is answered 429.
    pub reads_per_s: Option<u32>,
    /// Faults of the next writes, one each, whose key begins with the prefix.
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
    /// Draws a mix of faults: one time in three an outage, else shares of single faults.
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

    /// Takes the fault of a write to this key: a scripted one first, else a drawn one.
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
