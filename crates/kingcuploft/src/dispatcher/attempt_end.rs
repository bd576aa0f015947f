//! Updates a service's statistics when an attempt ends, and decides on a retry.

use std::time::Instant;

use super::request::{Attempt, Request};
use super::retry_queue::PendingRetry;
use super::service_state::ServiceState;
use crate::decisions::admission::QueuedRequest;
use crate::decisions::retry::{EndedAttempt, RetryDecision};
use crate::world::backend_server::{CallEnd, CallReport};
use crate::world::ids::BackendServerName;

impl ServiceState {
    /// Records the end of an attempt; returns whether it revealed that its backend server drains.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        report: &CallReport,
    ) -> bool {
        if matches!(report.end, CallEnd::Answered { .. } | CallEnd::TimedOut) {
            let service_time = self.admission.service_time(&attempt.rule);
            self.hedge
                .record_latency(&attempt.backend_server, report.latency, &service_time);
            self.admission
                .record_service_time(&attempt.rule, report.latency);
        }
        let server = self.server_of(attempt);
        let slots = server.map_or(u32::MAX, |i| self.service.backend_servers[i].slots);
        let service_time = self.admission.service_time(&attempt.rule);
        let requests_wait = !self.admission.is_empty();
        self.concurrency
            .record_end(report, slots, service_time, requests_wait);
        let Some(server) = server else {
            return false;
        };
        self.selection.record_end(now, server, report);
        let available = self.drain.available_servers();
        self.outlier.record_end(now, server, report.end, available);
        if let Some(load) = report.load {
            self.measuring.record_reply(now, server);
            self.notes.record_report(now, server, load.in_flight);
        }
        report.draining && self.drain.report_draining(server)
    }

    /// Decides whether to answer, retry or refuse after an attempt has ended.
    pub(super) fn decide_retry(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        request: &Request,
        report: &CallReport,
    ) -> RetryDecision {
        let ended = EndedAttempt {
            contract: request.contract(),
            attempts: request.attempts,
            deadline: request.deadline,
            report,
        };
        self.retry.decide(now, rng, &ended)
    }

    /// Queues a request for its next attempt.
    pub(super) fn queue_retry(
        &mut self,
        not_before: Instant,
        waiting: QueuedRequest,
        tried: Vec<BackendServerName>,
        last_end: CallEnd,
    ) {
        self.retries.insert(PendingRetry {
            not_before,
            request: waiting.request,
            tried,
            last_end,
        });
    }
}
