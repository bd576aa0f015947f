//! Decides what happens to a request after an attempt at it has ended: answer, retry or give up.
//!
//! A protected request is retried only on proof that the attempt did not run. A caller is told "not run" only if no
//! attempt may have run. Both rules are enforced here by construction: [`Attempts`] tracks whether any attempt may have
//! run, and [`Attempts::failure_status`] is the only source of the status of a failure that this VM reports itself.

use crate::planted::{self, PlantedFault};
use crate::world::contract::Contract;

/// How many attempts without a connection are followed by another one without a repeat from the budget: enough to meet a
/// server that is up while some are down, few enough that a request does not go through all of a large service.
const MAX_FREE_UNSENT: u32 = 4;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The server answered completely, with success.
    Succeeded,
    /// The server answered completely and reports a failure; the request ran.
    Failed,
    /// The server reported that it did not run the request.
    NotRun,
    /// Nothing was sent: no connection was available.
    Unsent,
    /// The request was sent and no complete answer came; it may have run.
    Lost,
    /// The answer is not the server's complete answer to this request; the request may have run.
    Broken,
    /// The attempt timed out and was cancelled; the request may have run.
    TimedOut,
}

impl AttemptEnd {
    /// Returns whether the request may have run in this attempt.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun | Self::Unsent)
    }

    /// Returns the name used in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unsent => "unsent",
            Self::Lost => "lost",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// Pass the server's answer on to the caller.
    PassOn,
    /// Send the request to another server, if the retry budget allows it.
    Retry,
    /// Answer with a failure of this VM.
    GiveUp,
}

/// The attempts at one request so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    contract: Contract,
    max_attempts: u32,
    ran: u32,
    sent: u32,
    unsent: u32,
}

impl Attempts {
    /// Creates a record without attempts, of which at most `most` are allowed.
    pub fn new(contract: Contract, most: u32) -> Self {
        Self {
            contract,
            max_attempts: most.max(1),
            ran: 0,
            sent: 0,
            unsent: 0,
        }
    }

    /// Counts an attempt that is about to be sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Returns how many attempts were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many attempts may have run.
    pub fn ran(&self) -> u32 {
        self.ran
    }

    /// Returns how many attempts may have reached a server.
    pub fn arrived(&self) -> u32 {
        self.sent - self.unsent
    }

    /// Returns how many more attempts may run.
    pub fn left(&self) -> u32 {
        match self.contract {
            Contract::RetryFreely => self.max_attempts.saturating_sub(self.ran),
            Contract::AtMostOnce => 1_u32.saturating_sub(self.ran),
        }
    }

    /// Returns whether the next attempt counts as a repeat: an earlier one may have reached a server.
    pub fn next_is_repeat(&self) -> bool {
        self.arrived() > 0 || self.unsent > MAX_FREE_UNSENT
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Returns whether one more attempt may be sent while this many are still in flight.
    pub fn may_send(&self, in_flight: u32) -> bool {
        let running = self.ran + in_flight;
        match self.contract {
            Contract::RetryFreely => running < self.max_attempts,
            Contract::AtMostOnce => running == 0 || planted::is_on(PlantedFault::RepeatsProtected),
        }
    }

    /// Records how an attempt ended and returns what to do next.
    pub fn record_outcome(&mut self, end: AttemptEnd) -> NextAction {
        if end.may_have_run() {
            self.ran += 1;
        }
        if end == AttemptEnd::Unsent {
            self.unsent += 1;
        }
        match end {
            AttemptEnd::Succeeded => NextAction::PassOn,
            AttemptEnd::Failed if !self.may_send(0) => NextAction::PassOn,
            _ if self.may_send(0) => NextAction::Retry,
            _ => NextAction::GiveUp,
        }
    }

    /// Records how a request ended that was passed to another VM, of whose attempts so many have reached a server and so
    /// many may have run; returns what to do next.
    pub fn record_relayed(&mut self, end: AttemptEnd, arrived: u32, ran: u32) -> NextAction {
        self.sent += arrived;
        self.ran += ran;
        match end {
            AttemptEnd::Succeeded | AttemptEnd::Failed => NextAction::PassOn,
            AttemptEnd::NotRun => NextAction::GiveUp,
            _ if self.may_send(0) => NextAction::Retry,
            _ => NextAction::GiveUp,
        }
    }

    /// Returns the HTTP status of a failure that this VM reports itself: 503, which promises that nothing ran, only if
    /// nothing can have run.
    pub fn failure_status(&self, timed_out: bool) -> u16 {
        let may_have_run =
            self.may_have_run() && !planted::is_on(PlantedFault::RefusesUntruthfully);
        match (may_have_run, timed_out) {
            (false, _) => 503,
            (true, false) => 502,
            (true, true) => 504,
        }
    }
}
