//! The dispatch duty: runs the library's dispatcher on events from the other duties.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use kingcuploft::dispatcher::{Action, Call, Dispatcher, Event};
use kingcuploft::utils::HashMap;
use kingcuploft::world::backend_server::{CallEnd, CallReport};
use kingcuploft::world::ids::{AttemptId, RequestId, ServiceName};
use kingcuploft::world::refusal::Refusal;
use tokio::sync::oneshot;

use crate::fleet_keeper;
use crate::message::{Answer, CallOrder, ClaimOrder, Message, Reply, RequestParts};
use crate::shared::Shared;

/// The longest sleep without an event.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// The rings out of the dispatch duty.
#[derive(Debug)]
pub struct Rings {
    /// To the backend edge.
    pub calls: Sender<CallOrder>,
    /// To the claims duty.
    pub claims: Sender<ClaimOrder>,
}

/// A request whose caller waits.
struct Pending {
    service: ServiceName,
    arrived: Instant,
    claim: Option<(String, String)>,
    parts: Box<RequestParts>,
    reply: oneshot::Sender<Reply>,
}

struct Dispatch {
    shared: Arc<Shared>,
    rings: Rings,
    dispatcher: Dispatcher,
    pending: HashMap<RequestId, Pending>,
    /// Answers of attempts, between their end and what the dispatcher makes of them.
    answers: HashMap<AttemptId, Answer>,
    actions: Vec<Action>,
    /// Attempts that could not be handed to the backend edge.
    not_handed_over: Vec<AttemptId>,
}

/// Runs the duty until a stop has been asked for and nothing is in flight.
pub fn run(shared: Arc<Shared>, ring: &Receiver<Message>, rings: Rings, seed: u64) {
    let dispatcher = Dispatcher::new(shared.vm.clone(), seed);
    let mut dispatch = Dispatch {
        shared,
        rings,
        dispatcher,
        pending: HashMap::default(),
        answers: HashMap::default(),
        actions: Vec::new(),
        not_handed_over: Vec::new(),
    };
    let mut stop: Option<Instant> = None;
    // A stop that has a bound ends at it even where a request is still in flight.
    while stop.is_none_or(|until| dispatch.dispatcher.in_flight() > 0 && Instant::now() < until) {
        match ring.recv_timeout(dispatch.sleep()) {
            Ok(Message::Stop(until)) => stop = Some(until),
            Ok(message) => dispatch.on_message(message),
            Err(RecvTimeoutError::Timeout) => dispatch.on_event(Event::Tick),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

impl Dispatch {
    fn sleep(&self) -> Duration {
        let due = self.dispatcher.next_tick();
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        left.map_or(LONGEST_SLEEP, |left| left.min(LONGEST_SLEEP))
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Arrived {
                arrival,
                parts,
                reply,
            } => {
                let id = arrival.request;
                let claim = arrival.key.as_ref();
                let claim = claim.map(|key| (key.to_string(), fingerprint(&parts)));
                let pending = Pending {
                    service: arrival.route.service.name.clone(),
                    arrived: arrival.arrived,
                    claim,
                    parts,
                    reply,
                };
                self.pending.insert(id, pending);
                self.on_event(Event::Arrived(arrival));
            }
            Message::CallerLeft(id) => {
                self.pending.remove(&id);
                self.on_event(Event::CallerLeft(id));
            }
            Message::Ended {
                attempt,
                report,
                answer,
            } => {
                self.answers.extend(answer.map(|answer| (attempt, *answer)));
                self.on_event(Event::Ended(attempt, report));
                self.answers.remove(&attempt);
            }
            Message::Claimed {
                request,
                end,
                recorded,
            } => {
                if let Some(answer) = recorded {
                    self.reply(request, Reply::Answer(*answer));
                }
                self.on_event(Event::Claimed(request, end));
            }
            Message::Adopted(accepted) => {
                self.shared
                    .metrics
                    .generation
                    .set(accepted.generation as i64);
                self.on_event(Event::Adopted(accepted));
            }
            Message::Draining(service, server) => self.on_event(Event::Draining(service, server)),
            Message::Stop(_) => {}
        }
    }

    fn on_event(&mut self, event: Event) {
        self.take_event(event);
        while let Some(attempt) = self.not_handed_over.pop() {
            let report = CallReport {
                end: CallEnd::NeverSent,
                latency: Duration::ZERO,
                load: None,
                draining: false,
            };
            self.take_event(Event::Ended(attempt, report));
        }
    }

    fn take_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher
            .on_event(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Claim(request) => self.claim(request),
            Action::Release(request) => self.order_claim(ClaimOrder::Release { request }),
            Action::Acknowledge(request, attempt) => {
                let answer = attempt.and_then(|attempt| self.answers.get(&attempt).cloned());
                self.order_claim(ClaimOrder::Acknowledge {
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
            Action::TellDraining(service, server) => {
                tracing::info!("drain: {server} of {service} takes no new work.");
                if let Some(notice) = fleet_keeper::notice(&self.shared, &service, &server) {
                    self.shared.fleet.drain_seen(&self.shared, notice);
                }
            }
            Action::Retried(_, reason) => self.shared.metrics.retried(reason),
        }
    }

    fn claim(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some((key, fingerprint)) = pending.claim.clone() else {
            return;
        };
        self.order_claim(ClaimOrder::Claim {
            request,
            service: pending.service.clone(),
            key,
            fingerprint,
        });
    }

    fn order_claim(&self, order: ClaimOrder) {
        // The claims duty's ring is as long as the dispatch ring, so it is full only where the
        // store has been slow for long; the dispatch duty then waits with it.
        drop(self.rings.claims.send(order));
    }

    /// Hands a call to the backend edge. Where the ring is full the call was never sent, and the
    /// dispatcher is told so at once.
    fn call(&mut self, call: Call) {
        let attempt = call.attempt;
        let Some(pending) = self.pending.get(&call.request) else {
            return self.not_handed_over.push(attempt);
        };
        let order = CallOrder {
            call,
            parts: (*pending.parts).clone(),
        };
        self.shared.calls.ordered(attempt);
        if self.rings.calls.try_send(order).is_err() {
            drop(self.shared.calls.ended(attempt));
            self.not_handed_over.push(attempt);
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.reply(request, Reply::Refused(refusal));
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(pending) = self.pending.remove(&request) {
            let metrics = &self.shared.metrics;
            metrics.answered(&pending.service, pending.arrived.elapsed());
            // A caller that left has dropped its end.
            drop(pending.reply.send(reply));
        }
    }
}

/// Tells one request's content from another's under the same idempotency key.
fn fingerprint(parts: &RequestParts) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(parts.method.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(parts.uri.to_string().as_bytes());
    hasher.update(b"\0");
    hasher.update(&parts.body);
    hasher.finalize().to_hex()[..32].to_string()
}
