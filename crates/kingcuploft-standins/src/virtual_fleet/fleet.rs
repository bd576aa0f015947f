//! The loop: events in the order of virtual time, until nothing is left to do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::dispatcher::{
    Action, Arrival, ClaimResult, Dispatcher, Event, PeerNotes, ProbeResult,
};
use kingcuploft::manifest::routing::Route;
use kingcuploft::manifest::{AcceptedManifest, Manifest};
use kingcuploft::utils::HashMap;
use kingcuploft::world::backend_server::CallReport;
use kingcuploft::world::ids::{
    AttemptId, AvailabilityZone, Generation, IdempotencyKey, RequestId, VmName,
};
use kingcuploft::world::vm::Vm;

use super::calls::BackendCall;
use super::claims::FakeClaims;
use super::outcome::{Cost, End, Outcome, Record};
use super::run::Run;
use super::server::{FakeServer, JobId};

/// What the heap holds.
#[derive(Debug)]
pub(super) enum FleetEvent {
    Step(usize),
    Claimed(usize, RequestId, ClaimResult),
    ReachServer(JobId),
    Finish(usize, JobId),
    ReachVm(JobId, CallReport),
    Timeout(JobId),
    CancelAtServer(usize, JobId),
    AttemptEnded(usize, AttemptId, CallReport),
    DrainReceived(usize, usize),
    NotesReceived(usize, PeerNotes),
    ProbeArrived(usize, usize, JobId),
    ProbeEnded(usize, ProbeResult),
    Tick(usize),
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    order: u64,
    happening: FleetEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One entry VM.
pub(super) struct Node {
    pub(super) name: VmName,
    pub(super) zone: AvailabilityZone,
    pub(super) dispatcher: Dispatcher,
    /// Whether callers are sent to it.
    pub(super) accepts: bool,
    /// Whether it runs at all.
    pub(super) runs: bool,
    tick: Option<Duration>,
    pub(super) requests: HashMap<RequestId, usize>,
}

pub(super) struct Fleet<'a> {
    pub(super) run: &'a Run,
    pub(super) base: Instant,
    pub(super) now: Duration,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    pushed: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) servers: Vec<FakeServer>,
    pub(super) claims: FakeClaims,
    pub(super) calls: HashMap<JobId, BackendCall>,
    pub(super) in_flight: HashMap<usize, u32>,
    /// The status of the answer that is being handed over.
    pub(super) status: u16,
    pub(super) jobs: HashMap<(usize, AttemptId), JobId>,
    pub(super) last_job: JobId,
    /// Who waits for each probe that is at its server.
    pub(super) probes: HashMap<JobId, usize>,
    pub(super) generation: Generation,
    pub(super) manifest: Arc<Manifest>,
    pub(super) records: Vec<Record>,
    pub(super) cost: Cost,
    pub(super) runs_by_key: HashMap<IdempotencyKey, u64>,
    pub(super) rng: fastrand::Rng,
}

/// How long a run goes on after its last request: longer than any deadline.
const COMPLETION_TIME: Duration = Duration::from_secs(5);

/// Runs the fleet until every caller has its answer.
pub fn run(run: &Run) -> Outcome {
    let mut fleet = Fleet::new(run);
    let mut asks = (0..run.requests.len()).peekable();
    loop {
        let arrival = asks.peek().map(|&ask| run.requests[ask].at);
        let due = fleet.heap.peek().map(|Reverse(due)| due.at);
        match (arrival, due) {
            (None, None) => break,
            (Some(at), due) if due.is_none_or(|due| at < due) => {
                fleet.now = at;
                asks.next().into_iter().for_each(|ask| fleet.arrive(ask));
            }
            (None, Some(due)) if due > run.duration + COMPLETION_TIME => break,
            _ => {
                let Some(Reverse(due)) = fleet.heap.pop() else {
                    break;
                };
                fleet.now = due.at;
                fleet.handle_event(due.happening);
            }
        }
    }
    let double_runs = fleet.runs_by_key.values().map(|runs| runs - 1).sum();
    fleet.cost.used_slot_time = fleet.servers.iter().map(|s| s.busy).sum();
    run.outcome(fleet.records, fleet.cost, double_runs)
}

impl<'a> Fleet<'a> {
    fn new(run: &'a Run) -> Self {
        let mut fleet = Self {
            run,
            base: Instant::now(),
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            pushed: 0,
            nodes: Vec::new(),
            servers: run.servers(),
            claims: FakeClaims::default(),
            calls: HashMap::default(),
            in_flight: HashMap::default(),
            status: 0,
            jobs: HashMap::default(),
            last_job: 0,
            probes: HashMap::default(),
            generation: 1,
            manifest: Arc::new(run.deployment.manifest()),
            records: (0..run.requests.len()).map(|i| run.record(i)).collect(),
            cost: Cost::default(),
            runs_by_key: HashMap::default(),
            rng: fastrand::Rng::with_seed(run.seed ^ 0x5eed),
        };
        for _ in 0..run.deployment.vms {
            fleet.start_vm();
        }
        fleet.broadcast_membership();
        for (i, step) in run.steps.iter().enumerate() {
            fleet.schedule(step.at(), FleetEvent::Step(i));
        }
        fleet
    }

    pub(super) fn schedule(&mut self, at: Duration, happening: FleetEvent) {
        self.pushed += 1;
        let order = self.pushed;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            order,
            happening,
        }));
    }

    pub(super) fn start_vm(&mut self) {
        let number = self.nodes.len();
        let zones = &self.run.deployment.zones;
        let zone = zones[number % zones.len()].clone();
        let vm = Vm {
            name: format!("vm-{:02}", number + 1).into(),
            availability_zone: zone.clone(),
            incarnation: 1,
        };
        let seed = self.run.seed.wrapping_add(number as u64 * 7919);
        self.nodes.push(Node {
            name: vm.name.clone(),
            zone,
            dispatcher: Dispatcher::new(vm, seed),
            accepts: true,
            runs: true,
            tick: None,
            requests: HashMap::default(),
        });
        self.adopt(number);
    }

    pub(super) fn adopt(&mut self, node: usize) {
        let accepted = AcceptedManifest {
            generation: self.generation,
            manifest: Arc::clone(&self.manifest),
        };
        self.dispatch(node, Event::LiveVmCount(self.run.deployment.vms as u32));
        self.dispatch(node, Event::ManifestAdopted(accepted));
    }

    fn arrive(&mut self, ask: usize) {
        let asked = &self.run.requests[ask];
        let accepting: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.nodes[n].accepts)
            .collect();
        if accepting.is_empty() {
            return;
        }
        let node = accepting[(asked.vm * accepting.len() as f64) as usize % accepting.len()];
        let service = Arc::clone(&self.manifest.services[0]);
        let request = ask as RequestId + 1;
        let arrived = self.base + self.now;
        let deadline = arrived + service.rules[asked.rule].deadline();
        self.nodes[node].requests.insert(request, ask);
        let arrival = Arrival {
            request,
            route: Route {
                service,
                rule: asked.rule,
            },
            caller: asked.caller.clone(),
            key: asked.key.clone(),
            arrived,
            deadline,
        };
        self.dispatch(node, Event::Arrived(arrival));
    }

    /// Hands an event to a dispatcher and carries out what it says.
    pub(super) fn dispatch(&mut self, node: usize, event: Event) {
        if !self.nodes[node].runs {
            return;
        }
        let mut actions = Vec::new();
        let now = self.base + self.now;
        let dispatcher = &mut self.nodes[node].dispatcher;
        dispatcher.on_event(now, event, &mut actions);
        let next_tick = dispatcher.next_tick();
        for action in actions {
            self.perform(node, action);
        }
        if let Some(due) = next_tick {
            self.schedule_tick(node, due.saturating_duration_since(self.base));
        }
    }

    fn schedule_tick(&mut self, node: usize, due: Duration) {
        let due = due.max(self.now + Duration::from_micros(1));
        let scheduled = self.nodes[node].tick;
        if scheduled.is_none_or(|scheduled| due < scheduled) {
            self.nodes[node].tick = Some(due);
            self.schedule(due, FleetEvent::Tick(node));
        }
    }

    fn handle_event(&mut self, happening: FleetEvent) {
        match happening {
            FleetEvent::Step(step) => self.change(step),
            FleetEvent::Claimed(node, request, end) => self.handle_claim_result(node, request, end),
            FleetEvent::ReachServer(job) => self.reach_server(job),
            FleetEvent::Finish(server, job) => self.finish(server, job),
            FleetEvent::ReachVm(job, report) => self.reach_vm(job, report),
            FleetEvent::Timeout(job) => self.time_out(job),
            FleetEvent::CancelAtServer(server, job) => self.cancel_at_server(server, job),
            FleetEvent::AttemptEnded(node, attempt, report) => {
                self.dispatch(node, Event::AttemptEnded(attempt, report));
            }
            FleetEvent::DrainReceived(node, server) => self.receive_drain(node, server),
            FleetEvent::ProbeArrived(node, server, job) => self.probe_reaches(node, server, job),
            FleetEvent::ProbeEnded(node, probed) => self.dispatch(node, Event::Probed(probed)),
            FleetEvent::NotesReceived(node, notes) => {
                self.dispatch(node, Event::NotesReceived(notes))
            }
            FleetEvent::Tick(node) => {
                if self.nodes[node].tick.is_some_and(|tick| tick <= self.now) {
                    self.nodes[node].tick = None;
                    self.dispatch(node, Event::Tick);
                }
            }
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Claim(request) => self.claim(node, request),
            Action::Release(request) => {
                if let Some(key) = self.key(node, request) {
                    self.claims.release(&key);
                }
            }
            Action::Acknowledge(request, attempt) => {
                if let Some(key) = self.key(node, request) {
                    self.claims.acknowledge(&key, attempt.is_some());
                }
            }
            Action::Call(call) => self.send(node, &call),
            Action::Cancel(attempt) => self.cancel(node, attempt),
            Action::Answer(request, attempt) => self.record_answer(node, request, attempt),
            Action::Refuse(request, refusal) => {
                self.record_end(node, request, End::Refused(refusal.reason, refusal.outcome));
            }
            Action::ShareDraining(_, server) => self.share_draining(node, &server),
            Action::Probe(probe) => self.send_probe(node, &probe),
            Action::ShareNotes(notes) => self.share_notes(node, &notes),
            Action::CountRetry(_, _) => self.cost.retries += 1,
            Action::CountHedge(..) => {}
        }
    }

    /// Returns the idempotency key of a request.
    fn key(&self, node: usize, request: RequestId) -> Option<IdempotencyKey> {
        let ask = *self.nodes[node].requests.get(&request)?;
        self.run.requests[ask].key.clone()
    }

    fn claim(&mut self, node: usize, request: RequestId) {
        let Some(key) = self.key(node, request) else {
            return;
        };
        let end = self.claims.claim(&key);
        let at = self.now + self.run.deployment.claim;
        self.schedule(at, FleetEvent::Claimed(node, request, end));
    }

    /// Hands a claim's end over; the claims' duty itself answers what must not be sent.
    fn handle_claim_result(&mut self, node: usize, request: RequestId, end: ClaimResult) {
        match end {
            ClaimResult::Held => {}
            ClaimResult::Replayed => self.record_end(node, request, End::Answered),
            ClaimResult::Refused(refusal) => {
                self.record_end(node, request, End::Refused(refusal.reason, refusal.outcome));
            }
        }
        self.dispatch(node, Event::Claimed(request, end));
    }

    /// Records what a caller received; only the first word reaches it.
    pub(super) fn record_end(&mut self, node: usize, request: RequestId, end: End) {
        let Some(&ask) = self.nodes[node].requests.get(&request) else {
            return;
        };
        let record = &mut self.records[ask];
        if record.end == End::Lost {
            record.end = end;
            record.latency = self.now - record.at;
        }
    }
}
