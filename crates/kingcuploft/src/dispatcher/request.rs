//! The state of a request and of its attempts, from arrival to answer.

use std::net::SocketAddr;
use std::time::Instant;

use super::Arrival;
use crate::decisions::admission::QueuedRequest;
use crate::decisions::retry::RetryReason;
use crate::manifest::routing::Route;
use crate::world::backend_server::CallEnd;
use crate::world::contract::Contract;
use crate::world::ids::{
    AttemptId, BackendServerName, Caller, IdempotencyKey, RequestId, RuleName, ServiceName,
};
use crate::world::refusal::{Outcome, Refusal};

/// A request that claims its key, waits or is in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) route: Route,
    pub(super) deadline: Instant,
    /// The number of attempts started.
    pub(super) attempts: u32,
    /// The attempts that have not ended.
    pub(super) in_flight: Vec<AttemptId>,
    /// The backend servers to which attempts were sent.
    pub(super) tried: Vec<BackendServerName>,
    pub(super) claim: ClaimState,
    /// Whether the caller was refused or has disconnected while an attempt runs on.
    pub(super) is_caller_done: bool,
    /// Whether the request may have run in an attempt that has ended.
    may_have_run: bool,
    /// Why the next attempt is made, if it is a retry.
    pub(super) retry: Option<RetryReason>,
    pub(super) arrived: Instant,
    pub(super) caller: Caller,
    pub(super) key: Option<IdempotencyKey>,
}

/// The state of a request's claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimState {
    /// The request needs no claim.
    NotNeeded,
    /// The claim was requested and has no result yet.
    Requested,
    /// The claim is held.
    Held,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        let protected = arrival.route.rule().contract == Contract::AtMostOnce;
        let needs_claim = protected && arrival.key.is_some();
        Self {
            route: arrival.route,
            deadline: arrival.deadline,
            attempts: 0,
            in_flight: Vec::new(),
            tried: Vec::new(),
            claim: if needs_claim {
                ClaimState::Requested
            } else {
                ClaimState::NotNeeded
            },
            is_caller_done: false,
            may_have_run: false,
            retry: None,
            arrived: arrival.arrived,
            caller: arrival.caller,
            key: arrival.key,
        }
    }

    pub(super) fn contract(&self) -> Contract {
        self.route.rule().contract
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.route.service.name
    }

    /// Returns the request's entry for the admission queue.
    pub(super) fn queue_entry(&self, id: RequestId) -> QueuedRequest {
        let rule = self.route.rule();
        QueuedRequest {
            request: id,
            rule: rule.name.clone(),
            priority: rule.priority,
            queue_limit: rule.queue_limit,
            caller_share: rule.caller_share,
            caller: self.caller.clone(),
            key: self.key.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }

    /// Records the end of an attempt.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, end: CallEnd) {
        self.in_flight.retain(|&live| live != attempt);
        self.may_have_run |= end.may_have_run();
    }

    /// Tells whether a backend server may have run the request, or may be running it.
    ///
    /// Failure: a lookup whose first attempt was cut off is refused while it waits for its second, and the caller is
    /// told that it did not run although it may have. The outcome of every refusal is corrected by this.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run || !self.in_flight.is_empty()
    }

    /// Returns the refusal with outcome "unknown" in place of "not run" where the request may have run.
    pub(super) fn correct_outcome(&self, refusal: Refusal) -> Refusal {
        match refusal.outcome {
            Outcome::NotRun if self.may_have_run() => Refusal {
                outcome: Outcome::Unknown,
                ..refusal
            },
            _ => refusal,
        }
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) service: ServiceName,
    pub(super) rule: RuleName,
    pub(super) backend_server: BackendServerName,
    pub(super) address: SocketAddr,
    /// When the attempt is counted as ended if no report has come.
    pub(super) expires_at: Instant,
    pub(super) sent_at: Instant,
    /// When the attempt is next checked for a hedge.
    pub(super) hedge_check_at: Option<Instant>,
    /// Whether the attempt was sent while another one was in flight.
    pub(super) is_hedge: bool,
}
