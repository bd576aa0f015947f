//! Requests for a service that is out of this VM's reach, and requests that another VM has passed to this one.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::attempts::{AttemptEnd, NextAction};
use kingcuploft::world::contract::Contract;

use super::active_request::ActiveRequest;
use super::answer::Answer;
use super::caller_disconnect::CallerDisconnect;
use crate::clock;
use crate::reach;
use crate::relay::send::{self, RelayOutcome};
use crate::relay::wire::{RelayedAnswer, RelayedRequest};

/// The most VMs to which one request is passed.
const MAX_RELAYS: usize = 3;

/// What to do after a request was passed to another VM.
pub(super) enum AfterRelay {
    /// Answer the caller.
    Answer(Answer),
    /// Select again.
    SelectAgain,
}

/// By which path a request can reach a server.
pub(super) enum Path {
    /// The service is in reach, or nobody is known who reaches it.
    Direct,
    /// The service is out of reach but for open connections; the VM at this address reaches it.
    OpenConnectionsOr(SocketAddr),
    /// The request came from another VM, and must not be passed on again.
    None,
}

impl ActiveRequest<'_> {
    /// Returns by which path the request can reach a server.
    pub(super) async fn path(&self) -> Path {
        if !self.context.reach.is_out_of_reach(&self.service) {
            return Path::Direct;
        }
        if self.request.relayed.is_some() {
            return Path::None;
        }
        if self.tried_relays.len() >= MAX_RELAYS {
            return Path::Direct;
        }
        let relay = reach::find_relay(self.context, &self.service, &self.tried_relays).await;
        relay.map_or(Path::Direct, Path::OpenConnectionsOr)
    }

    /// Passes the request to another VM.
    pub(super) async fn relay(
        &mut self,
        address: SocketAddr,
        disconnect: &CallerDisconnect,
    ) -> AfterRelay {
        self.tried_relays.push(address);
        let started_at = clock::now();
        let left = self.deadline.saturating_duration_since(started_at);
        let told = self.relayed_request();
        let outcome = send::send(self.context, address, self.request, &told, left).await;
        self.context.metrics.count_relay(outcome.end.label());
        tracing::info!(
            event = "relayed",
            request = self.request.id,
            route = %self.route.name,
            to = %address,
            server = outcome.answer.server.as_deref(),
            arrived = outcome.answer.arrived,
            waited_ms = started_at.saturating_duration_since(self.request.arrived).as_millis() as u64,
            took_ms = clock::since(started_at).as_millis() as u64,
            left_ms = left.as_millis() as u64,
            end = outcome.end.label(),
            detail = outcome.detail,
        );
        let next =
            self.attempts
                .record_relayed(outcome.end, outcome.answer.arrived, outcome.answer.ran);
        self.after_relay(address, outcome, next, disconnect)
    }

    fn relayed_request(&self) -> RelayedRequest {
        let waited =
            clock::after(clock::now(), self.route.target).saturating_duration_since(self.target_at);
        RelayedRequest {
            service: self.service.clone(),
            configuration: self.configuration.version,
            waited_ms: waited.as_millis() as u64,
            is_caller_retry: self.is_returning,
            attempts: self.attempts.left(),
            workspace: self.workspace.as_ref().map(|known| known.name.clone()),
        }
    }

    fn after_relay(
        &mut self,
        address: SocketAddr,
        outcome: RelayOutcome,
        next: NextAction,
        disconnect: &CallerDisconnect,
    ) -> AfterRelay {
        match (outcome.end, outcome.response) {
            (AttemptEnd::Succeeded | AttemptEnd::Failed, Some(response)) => {
                self.answered_by = outcome.answer.server;
                AfterRelay::Answer(Answer::from_server(self.request, response))
            }
            (AttemptEnd::NotRun, response) => {
                // The other VM has asked all servers that it may: another one would find the same.
                let told = response.and_then(|r| retry_after(&r));
                self.retry_after = told.unwrap_or(self.retry_after);
                AfterRelay::Answer(self.give_up(outcome.detail))
            }
            (end, _) => {
                let reach = &self.context.reach;
                reach.record_relay_failed(&self.service, address);
                match next {
                    NextAction::Retry if self.may_try_again(disconnect, end) => {
                        AfterRelay::SelectAgain
                    }
                    _ => AfterRelay::Answer(self.give_up(outcome.detail)),
                }
            }
        }
    }

    /// Returns what the VM that passed the request here is told of the answer.
    pub(super) fn relayed_answer(&self) -> RelayedAnswer {
        RelayedAnswer {
            server: self.answered_by.clone(),
            arrived: self.attempts.arrived(),
            ran: self.attempts.ran(),
        }
    }

    /// Returns whether the end of the caller's connection cancels the request. A protected request that was sent is not
    /// cancelled: it would stay unknown whether it ran.
    pub(super) fn is_cancelled_with_caller(&self) -> bool {
        self.route.contract == Contract::RetryFreely
    }
}

/// Returns the time after which the other VM's refusal says that the caller may come back.
fn retry_after(response: &crate::http::client::Response) -> Option<Duration> {
    let seconds: f64 = response.head.headers.get("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
