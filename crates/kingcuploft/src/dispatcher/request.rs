//! A request and an attempt at it, from arrival to answer.

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

/// A request that claims, waits or is in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) route: Route,
    pub(super) deadline: Instant,
    /// How many attempts were begun.
    pub(super) attempts: u32,
    /// The attempts that have not ended.
    pub(super) in_flight: Vec<AttemptId>,
    /// The backend servers that were tried.
    pub(super) tried: Vec<BackendServerName>,
    pub(super) claim: ClaimState,
    /// Whether the caller has its final answer or has left.
    pub(super) is_caller_done: bool,
    /// Whether an attempt that ended may have run the request.
    may_have_run: bool,
    /// Why the next attempt is made, where it is a retry.
    pub(super) retry: Option<RetryReason>,
    pub(super) arrived: Instant,
    pub(super) caller: Caller,
    pub(super) key: Option<IdempotencyKey>,
}

/// Where the claim of a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimState {
    /// None is needed.
    NotNeeded,
    /// It is asked for.
    Requested,
    /// It is held.
    Held,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        let protected = arrival.route.rule().contract == Contract::AtMostOnce;
        let claims = protected && arrival.key.is_some();
        Self {
            route: arrival.route,
            deadline: arrival.deadline,
            attempts: 0,
            in_flight: Vec::new(),
            tried: Vec::new(),
            claim: if claims {
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

    /// Returns what the queue needs to know of the request.
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

    /// Notes the end of an attempt.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, end: CallEnd) {
        self.in_flight.retain(|&live| live != attempt);
        self.may_have_run |= end.may_have_run();
    }

    /// Tells whether a backend server may have run the request, or may be running it.
    ///
    /// This guards against the lie that a request was not run: a lookup whose first attempt was
    /// cut may wait for its second when it is refused. Every refusal's outcome passes here.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run || !self.in_flight.is_empty()
    }

    /// Returns the refusal with an outcome that is true for this request.
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
    /// When the dispatcher counts it as ended without a report.
    pub(super) expires_at: Instant,
    pub(super) sent_at: Instant,
    /// When it is looked at, whether to hedge it.
    pub(super) hedge_check_at: Option<Instant>,
    /// Whether it was sent while another attempt was in flight.
    pub(super) is_hedge: bool,
}
