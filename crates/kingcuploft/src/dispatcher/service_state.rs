//! The decisions of one service on one VM, joined.

use std::sync::Arc;
use std::time::Instant;

use super::request::Request;
use crate::decisions::admission::{Admission, Next, Offer, Waiting};
use crate::decisions::drain::Drain;
use crate::decisions::retry::{Retry, Verdict};
use crate::decisions::selection::{Choice, Selection};
use crate::manifest::{BackendServer, Service};
use crate::utils::HashMap;
use crate::world::backend_server::CallReport;
use crate::world::ids::{BackendServerName, RequestId};
use crate::world::refusal::{Refusal, RefusalReason};
use crate::world::vm::Vm;

/// What to do with the head of the queue.
pub(super) enum Pick {
    /// Nothing can be sent now.
    Idle,
    /// Refuse this request.
    Refuse(RequestId, Refusal),
    /// Send this request to the backend server with this index.
    Send(Waiting, usize),
}

/// One service on one VM.
#[derive(Debug)]
pub(super) struct ServiceState {
    service: Arc<Service>,
    by_name: HashMap<BackendServerName, usize>,
    admission: Admission,
    selection: Selection,
    drain: Drain,
    retry: Retry,
}

impl ServiceState {
    /// Builds the state under a new manifest, taking over what still holds of the old one.
    pub(super) fn new(service: Arc<Service>, vm: &Vm, _old: Option<Self>) -> Self {
        let names = service.backend_servers.iter().map(|s| s.name.clone());
        Self {
            by_name: names.enumerate().map(|(i, name)| (name, i)).collect(),
            admission: Admission::new(&service),
            selection: Selection::new(&service, &vm.availability_zone),
            drain: Drain::new(&service),
            retry: Retry::new(&service.policy.retry),
            service,
        }
    }

    pub(super) fn check(&self, now: Instant, waiting: &Waiting) -> Option<Refusal> {
        refusal(self.admission.check(now, waiting))
    }

    pub(super) fn offer(&mut self, now: Instant, waiting: Waiting) -> Option<Refusal> {
        refusal(self.admission.offer(now, waiting))
    }

    /// Takes the next request and the backend server it goes to.
    pub(super) fn pick(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Pick {
        if self.admission.is_empty() {
            return Pick::Idle;
        }
        let drain = &self.drain;
        let choice = self.selection.choose(now, rng, |i| drain.takes_work(i));
        if choice == Choice::Full {
            return Pick::Idle;
        }
        let waiting = match self.admission.next(now) {
            Next::Empty => return Pick::Idle,
            Next::Expired(waiting) => {
                let refusal = Refusal::not_run(RefusalReason::DeadlinePassed);
                return Pick::Refuse(waiting.request, refusal);
            }
            Next::Serve(waiting) => waiting,
        };
        match choice {
            Choice::Send(server) => Pick::Send(waiting, server),
            Choice::Full | Choice::NoneLeft => {
                let refusal = Refusal::not_run(RefusalReason::NoBackendServer);
                Pick::Refuse(waiting.request, refusal)
            }
        }
    }

    pub(super) fn sent(&mut self, now: Instant, server: usize) -> &BackendServer {
        self.selection.sent(now, server);
        &self.service.backend_servers[server]
    }

    /// Notes the end of an attempt; tells whether it brought news of a drain.
    pub(super) fn ended(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        report: &CallReport,
    ) -> bool {
        let Some(&server) = self.by_name.get(server) else {
            return false;
        };
        self.selection.ended(now, server, report);
        report.draining && self.drain.evidence(server)
    }

    pub(super) fn after(
        &mut self,
        now: Instant,
        request: &Request,
        report: &CallReport,
    ) -> Verdict {
        let contract = request.route.rule().contract;
        self.retry
            .decide(now, contract, request.attempts, request.deadline, report)
    }

    pub(super) fn draining(&mut self, server: &BackendServerName) -> bool {
        let server = self.by_name.get(server);
        server.is_some_and(|&server| self.drain.evidence(server))
    }

    pub(super) fn expired(&mut self, now: Instant) -> Option<(RequestId, Refusal)> {
        let waiting = self.admission.expired(now)?;
        let refusal = Refusal::not_run(RefusalReason::DeadlinePassed);
        Some((waiting.request, refusal))
    }

    pub(super) fn remove(&mut self, request: RequestId) {
        self.admission.remove(request);
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.admission.next_deadline()
    }

    pub(super) fn waiting(mut self) -> Vec<RequestId> {
        let far = Instant::now() + std::time::Duration::from_secs(86_400);
        let waiting = std::iter::from_fn(|| self.admission.expired(far));
        waiting.map(|w| w.request).collect()
    }
}

fn refusal(offer: Offer) -> Option<Refusal> {
    match offer {
        Offer::Queued => None,
        Offer::Refused(refusal) => Some(refusal),
    }
}
