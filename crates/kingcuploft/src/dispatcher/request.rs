//! A request and an attempt at it, from arrival to answer.

use std::time::Instant;

use super::Arrival;
use crate::decisions::admission::Waiting;
use crate::decisions::retry::{Retry, Verdict};
use crate::manifest::routing::Route;
use crate::settings::retry::RetrySettings;
use crate::world::backend_server::CallReport;
use crate::world::ids::{
    AttemptId, BackendServerName, Caller, IdempotencyKey, RequestId, ServiceName,
};

/// A request that waits, claims or is in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) route: Route,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) attempts: u32,
    pub(super) in_flight: Option<AttemptId>,
    pub(super) claim_held: bool,
    caller: Caller,
    key: Option<IdempotencyKey>,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        Self {
            route: arrival.route,
            arrived: arrival.arrived,
            deadline: arrival.deadline,
            attempts: 0,
            in_flight: None,
            claim_held: false,
            caller: arrival.caller,
            key: arrival.key,
        }
    }

    /// Returns what the queue needs to know of the request.
    pub(super) fn waiting(&self, id: RequestId) -> Waiting {
        Waiting {
            request: id,
            rule: self.route.rule,
            priority: self.route.rule().priority,
            caller: self.caller.clone(),
            key: self.key.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }

    /// Returns the verdict where the service is gone: no attempt follows this one.
    pub(super) fn verdict_without_retry(&self, report: &CallReport) -> Verdict {
        let none = RetrySettings {
            attempts: 0,
            ..RetrySettings::default()
        };
        let contract = self.route.rule().contract;
        Retry::new(&none).decide(self.deadline, contract, 1, self.deadline, report)
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) service: ServiceName,
    pub(super) backend_server: BackendServerName,
}
