//! The dispatch thread: feeds the events of all other threads to the dispatcher and carries out its actions.
//!
//! The dispatcher is a pure state machine; this thread supplies its time and events and is the only one that calls it.
//! It never blocks on another thread: a full channel is reported to the dispatcher as a call or claim that was never
//! sent.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use kingcuploft::decisions::membership::MemberState;
use kingcuploft::dispatcher::{Action, Arrival, Call, ClaimResult, Dispatcher, Event, Probe};
use kingcuploft::manifest::Manifest;
use kingcuploft::utils::HashMap;
use kingcuploft::world::backend_server::{CallEnd, CallReport};
use kingcuploft::world::ids::{AttemptId, RequestId, ServiceName, VmName};
use kingcuploft::world::refusal::{Refusal, RefusalReason};
use tokio::sync::oneshot;

use crate::claims;
use crate::decision_log::DecisionKind;
use crate::fleet_state::{self, PeerUpdate};
use crate::message::{Answer, CallTask, ClaimTask, Message, Reply, RequestParts};
use crate::shared::Shared;

/// The longest sleep without an event, and the interval of the membership check.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// The channels from the dispatch thread to the threads that carry out its actions.
#[derive(Debug)]
pub struct TaskSenders {
    /// To the backend edge.
    pub calls: Sender<CallTask>,
    /// To the prober.
    pub probes: Sender<Probe>,
    /// To the claims thread.
    pub claims: Sender<ClaimTask>,
}

/// A request whose caller waits for the reply.
struct PendingRequest {
    service: ServiceName,
    arrived: Instant,
    /// The claim of its idempotency key, if it has one.
    claim: Option<ClaimTask>,
    parts: Box<RequestParts>,
    reply: oneshot::Sender<Reply>,
}

struct Dispatch {
    shared: Arc<Shared>,
    senders: TaskSenders,
    dispatcher: Dispatcher,
    pending: HashMap<RequestId, PendingRequest>,
    /// Answers of attempts that have ended, until the dispatcher has handled their end.
    answers: HashMap<AttemptId, Answer>,
    actions: Vec<Action>,
    /// Attempts that did not fit into the channel to the backend edge.
    unsent_calls: Vec<AttemptId>,
    /// The manifest that the dispatcher uses, which may be older than the active one.
    manifest: Arc<Manifest>,
    /// How many VMs share the backend servers, as of the last membership check.
    sharing_vm_count: usize,
    /// The live VMs, as of the last membership check.
    live_vms: Vec<VmName>,
    /// When the membership is checked next.
    next_membership_check: Instant,
    /// Claims that did not fit into the channel to the claims thread.
    unsent_claims: Vec<RequestId>,
    /// Releases and acknowledgements that did not fit into that channel, oldest first.
    queued_claim_ends: VecDeque<ClaimTask>,
}

/// Runs the dispatcher until a stop was requested and nothing is in flight.
pub fn run(shared: Arc<Shared>, messages: &Receiver<Message>, senders: TaskSenders, seed: u64) {
    let dispatcher = Dispatcher::new(shared.vm.clone(), seed);
    let mut dispatch = Dispatch {
        shared,
        senders,
        dispatcher,
        pending: HashMap::default(),
        answers: HashMap::default(),
        actions: Vec::new(),
        unsent_calls: Vec::new(),
        manifest: Arc::default(),
        sharing_vm_count: 0,
        live_vms: Vec::new(),
        next_membership_check: Instant::now(),
        unsent_claims: Vec::new(),
        queued_claim_ends: VecDeque::new(),
    };
    let mut stop: Option<Instant> = None;
    // The stop timeout ends this loop even if a request is still in flight.
    while stop.is_none_or(|until| dispatch.dispatcher.in_flight() > 0 && Instant::now() < until) {
        match messages.recv_timeout(dispatch.sleep()) {
            Ok(Message::Stop(until)) => stop = Some(until),
            Ok(message) => dispatch.on_message(message),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        dispatch.tick();
        dispatch.flush_claim_ends();
    }
    // The claims thread ends only after this one and still receives the queued claim ends.
    for task in dispatch.queued_claim_ends {
        drop(dispatch.senders.claims.send(task));
    }
}

impl Dispatch {
    fn sleep(&self) -> Duration {
        let due = self.dispatcher.next_tick();
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        left.map_or(MAX_SLEEP, |left| left.min(MAX_SLEEP))
    }

    /// Sends the dispatcher a tick if something is due.
    ///
    /// This runs after each message too. Under load the channel is never empty, and deadlines would pass unnoticed if
    /// the dispatcher received ticks only while the channel is empty.
    fn tick(&mut self) {
        let now = Instant::now();
        if now >= self.next_membership_check {
            self.next_membership_check = now + MAX_SLEEP;
            self.check_membership();
            let metrics = &self.shared.metrics.service;
            let loads = self.dispatcher.loads();
            loads.for_each(|(service, load)| metrics.set_load(service, &load));
            let sharing = self.shared.fleet.sharing_vm_count(&self.shared);
            if sharing != self.sharing_vm_count {
                self.sharing_vm_count = sharing;
                self.on_event(Event::LiveVmCount(
                    u32::try_from(sharing).unwrap_or(u32::MAX),
                ));
            }
        }
        if self.dispatcher.next_tick().is_some_and(|due| due <= now) {
            self.on_event(Event::Tick);
        }
    }

    /// Sends the dispatcher the list of live VMs if it changed.
    fn check_membership(&mut self) {
        let members = self.shared.fleet.members();
        let live = members.into_iter().filter(|m| m.state == MemberState::Live);
        let live: Vec<VmName> = live.map(|member| member.name).collect();
        if live != self.live_vms {
            self.live_vms.clone_from(&live);
            self.on_event(Event::MembershipChanged(live));
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::RequestArrived {
                arrival,
                parts,
                reply,
            } => {
                let id = arrival.request;
                let claim = claim_task(&arrival, &parts);
                let pending = PendingRequest {
                    service: arrival.route.service.name.clone(),
                    arrived: arrival.arrived,
                    claim,
                    parts,
                    reply,
                };
                self.pending.insert(id, pending);
                self.on_event(Event::Arrived(arrival));
            }
            Message::CallerDisconnected(id) => {
                self.pending.remove(&id);
                self.on_event(Event::CallerDisconnected(id));
            }
            Message::AttemptEnded {
                attempt,
                report,
                answer,
            } => {
                self.answers.extend(answer.map(|answer| (attempt, *answer)));
                self.on_event(Event::AttemptEnded(attempt, report));
                self.answers.remove(&attempt);
            }
            Message::Claimed {
                request,
                result,
                recorded,
            } => {
                if let Some(answer) = recorded {
                    self.reply(request, Reply::Answer(*answer));
                }
                self.on_event(Event::Claimed(request, result));
            }
            Message::ManifestAdopted(accepted) => {
                self.shared
                    .metrics
                    .generation
                    .set(accepted.generation as i64);
                self.manifest = Arc::clone(&accepted.manifest);
                self.on_event(Event::ManifestAdopted(accepted));
            }
            Message::Probed(probed) => self.on_event(Event::Probed(probed)),
            Message::NotesReceived(notes) => self.on_event(Event::NotesReceived(notes)),
            Message::ServerDraining(service, server) => {
                self.on_event(Event::ServerDraining(service, server))
            }
            Message::Explain(query, reply) => {
                let found = self.dispatcher.find_explanations(Instant::now(), &query);
                // The operator may have disconnected.
                drop(reply.send(found));
            }
            Message::Stop(_) => {}
        }
    }

    fn on_event(&mut self, event: Event) {
        self.handle_event(event);
        while let Some(event) = self.next_failed_send() {
            self.handle_event(event);
        }
    }

    /// Returns the event of a call or claim that did not fit into its channel.
    fn next_failed_send(&mut self) -> Option<Event> {
        if let Some(attempt) = self.unsent_calls.pop() {
            let report = CallReport {
                end: CallEnd::NeverSent,
                latency: Duration::ZERO,
                load: None,
                draining: false,
            };
            return Some(Event::AttemptEnded(attempt, report));
        }
        let request = self.unsent_claims.pop()?;
        let refusal = Refusal::not_run(RefusalReason::Overloaded);
        Some(Event::Claimed(request, ClaimResult::Refused(refusal)))
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher
            .on_event(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Claim(request) => self.claim(request),
            Action::Release(request) => self.end_claim(ClaimTask::Release { request }),
            Action::Acknowledge(request, attempt) => {
                let answer = attempt.and_then(|attempt| self.answers.get(&attempt).cloned());
                self.end_claim(ClaimTask::Acknowledge {
                    request,
                    answer: answer.map(Box::new),
                });
            }
            Action::Call(call) => self.call(call),
            Action::Cancel(attempt) => self.shared.calls.cancel(attempt),
            Action::Answer(request, attempt) => {
                if let Some(answer) = self.answers.get(&attempt).cloned() {
                    self.reply(request, Reply::Answer(answer));
                }
            }
            Action::Refuse(request, refusal) => self.refuse(request, refusal),
            Action::ShareDraining(service, server) => {
                tracing::info!("drain: {server} of {service} takes no new work.");
                let decisions = &self.shared.decisions;
                decisions.record(
                    DecisionKind::Drained,
                    "drain",
                    &service,
                    "",
                    server.to_string(),
                );
                if let Some(notice) = fleet_state::drain_notice(&self.manifest, &service, &server) {
                    self.shared.fleet.record_own_drain(&self.shared, notice);
                }
            }
            Action::CountHedge(service, step) => {
                self.shared.metrics.service.count_hedge(&service, step)
            }
            Action::CountRetry(service, reason) => {
                self.shared.metrics.count_retry(reason);
                let decisions = &self.shared.decisions;
                decisions.record(
                    DecisionKind::Retried,
                    reason.label(),
                    &service,
                    "",
                    String::new(),
                );
            }
            Action::Probe(probe) => self.probe(probe),
            Action::ShareNotes(notes) => {
                let fleet = &self.shared.fleet;
                fleet.send_to_peers(&self.shared, PeerUpdate::Notes(notes));
            }
        }
    }

    /// Sends a claim to the claims thread. If the channel is full, the dispatcher is told at once: waiting for the
    /// claims thread could deadlock, because that thread waits for this one to receive its verdicts.
    fn claim(&mut self, request: RequestId) {
        let pending = self.pending.get_mut(&request);
        let Some(task) = pending.and_then(|pending| pending.claim.take()) else {
            return self.unsent_claims.push(request);
        };
        if self.senders.claims.try_send(task).is_err() {
            self.unsent_claims.push(request);
        }
    }

    /// Sends the end of a claim to the claims thread. A lost end would leave its key blocked, so it is queued until the
    /// channel has space. The queue is never longer than the number of requests in flight.
    fn end_claim(&mut self, task: ClaimTask) {
        self.queued_claim_ends.push_back(task);
        self.flush_claim_ends();
    }

    fn flush_claim_ends(&mut self) {
        while let Some(task) = self.queued_claim_ends.pop_front() {
            if let Err(TrySendError::Full(task)) = self.senders.claims.try_send(task) {
                return self.queued_claim_ends.push_front(task);
            }
        }
    }

    /// Sends a call to the backend edge. If the channel is full, the dispatcher is told at once that the call was never
    /// sent.
    fn call(&mut self, call: Call) {
        let attempt = call.attempt;
        let metrics = &self.shared.metrics.service;
        metrics.record_wait(&call.route.service.name, call.waited);
        let Some(pending) = self.pending.get(&call.request) else {
            return self.unsent_calls.push(attempt);
        };
        let task = CallTask {
            call,
            parts: (*pending.parts).clone(),
        };
        self.shared.calls.add(attempt);
        if self.senders.calls.try_send(task).is_err() {
            drop(self.shared.calls.remove(attempt));
            self.unsent_calls.push(attempt);
        }
    }

    /// Sends a probe to the prober; if the channel is full, the probe is dropped and its budget is spent.
    fn probe(&mut self, probe: Probe) {
        if let Err(error) = self.senders.probes.try_send(probe) {
            tracing::debug!("measure: a probe is dropped: {error}.");
            self.shared.metrics.probes_dropped.inc();
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        if let Some(pending) = self.pending.get(&request) {
            let metrics = &self.shared.metrics.service;
            metrics.count_refusal(&pending.service, refusal.reason);
        }
        self.reply(request, Reply::Refused(refusal));
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(pending) = self.pending.remove(&request) {
            let metrics = &self.shared.metrics;
            metrics.record_latency(&pending.service, pending.arrived.elapsed());
            // The receiver of a caller that disconnected is gone.
            drop(pending.reply.send(reply));
        }
    }
}

/// Returns the task that claims a request's idempotency key, if it has one.
fn claim_task(arrival: &Arrival, parts: &RequestParts) -> Option<ClaimTask> {
    let key = arrival.key.as_ref()?;
    let idempotency = &arrival.route.rule().idempotency;
    Some(ClaimTask::Claim {
        request: arrival.request,
        key: claims::key_hash(&arrival.route.service.name, key),
        fingerprint: claims::fingerprint(parts),
        deadline: arrival.deadline,
        window: Duration::from_secs(idempotency.window_s),
        record_bytes: idempotency.record_bytes,
    })
}
