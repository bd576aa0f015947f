//! The event loop of the simulation: handles arrivals and scheduled events in the order of virtual time.

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

/// An event of the simulation. A `usize` is the index of a VM, a backend server or a step.
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
    event: FleetEvent,
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

/// A simulated entry VM.
pub(super) struct Node {
    pub(super) name: VmName,
    pub(super) zone: AvailabilityZone,
    pub(super) dispatcher: Dispatcher,
    /// Whether new requests of callers are sent to it.
    pub(super) accepts: bool,
    /// Whether it runs; a stopped VM handles no more events.
    pub(super) runs: bool,
    /// The next scheduled tick.
    tick: Option<Duration>,
    /// The index in the run of each request that arrived here.
    pub(super) requests: HashMap<RequestId, usize>,
}

/// The state of the simulated fleet.
pub(super) struct Fleet<'a> {
    pub(super) run: &'a Run,
    /// The instant of virtual time zero, for the dispatchers' clocks.
    pub(super) started_at: Instant,
    pub(super) now: Duration,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The number of events scheduled so far, which orders events of the same time.
    scheduled_count: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) servers: Vec<FakeServer>,
    pub(super) claims: FakeClaims,
    pub(super) calls: HashMap<JobId, BackendCall>,
    /// The calls in flight of each request, by its index in the run.
    pub(super) in_flight: HashMap<usize, u32>,
    /// The status of the answer that the dispatcher is being given, for the record of the request.
    pub(super) answer_status: u16,
    /// The job of each attempt in flight, by the index of its VM.
    pub(super) jobs: HashMap<(usize, AttemptId), JobId>,
    pub(super) last_job: JobId,
    /// The index of the VM that waits for each probe that runs or is queued at its server.
    pub(super) probes: HashMap<JobId, usize>,
    pub(super) generation: Generation,
    pub(super) manifest: Arc<Manifest>,
    pub(super) records: Vec<Record>,
    pub(super) cost: Cost,
    /// How often a request with each idempotency key ran.
    pub(super) runs_by_key: HashMap<IdempotencyKey, u64>,
    pub(super) rng: fastrand::Rng,
}

/// How long a run continues after its last request: longer than any deadline, so that every request ends.
const COMPLETION_TIME: Duration = Duration::from_secs(5);

/// Simulates a run until every request has ended.
pub fn run(run: &Run) -> Outcome {
    let mut fleet = Fleet::new(run);
    let mut arrivals = (0..run.requests.len()).peekable();
    loop {
        let arrival = arrivals.peek().map(|&index| run.requests[index].arrives_at);
        let due = fleet.heap.peek().map(|Reverse(due)| due.at);
        match (arrival, due) {
            (None, None) => break,
            (Some(at), due) if due.is_none_or(|due| at < due) => {
                fleet.now = at;
                arrivals
                    .next()
                    .into_iter()
                    .for_each(|index| fleet.arrive(index));
            }
            (None, Some(due)) if due > run.duration + COMPLETION_TIME => break,
            _ => {
                let Some(Reverse(due)) = fleet.heap.pop() else {
                    break;
                };
                fleet.now = due.at;
                fleet.handle_event(due.event);
            }
        }
    }
    let duplicate_runs = fleet.runs_by_key.values().map(|runs| runs - 1).sum();
    fleet.cost.used_slot_time = fleet.servers.iter().map(|s| s.busy).sum();
    run.outcome(fleet.records, fleet.cost, duplicate_runs)
}

impl<'a> Fleet<'a> {
    fn new(run: &'a Run) -> Self {
        let mut fleet = Self {
            run,
            started_at: Instant::now(),
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            scheduled_count: 0,
            nodes: Vec::new(),
            servers: run.servers(),
            claims: FakeClaims::default(),
            calls: HashMap::default(),
            in_flight: HashMap::default(),
            answer_status: 0,
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
        for _ in 0..run.deployment.vm_count {
            fleet.start_vm();
        }
        fleet.broadcast_membership();
        for (i, step) in run.steps.iter().enumerate() {
            fleet.schedule(step.at(), FleetEvent::Step(i));
        }
        fleet
    }

    /// Schedules an event; events of the same time are handled in the order in which they were scheduled.
    pub(super) fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.scheduled_count += 1;
        let order = self.scheduled_count;
        self.heap.push(Reverse(ScheduledEvent { at, order, event }));
    }

    /// Adds a VM, in the zones by turns, with the manifest in force.
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

    /// Hands a dispatcher the manifest in force.
    pub(super) fn adopt(&mut self, node: usize) {
        let accepted = AcceptedManifest {
            generation: self.generation,
            manifest: Arc::clone(&self.manifest),
        };
        self.dispatch(
            node,
            Event::LiveVmCount(self.run.deployment.vm_count as u32),
        );
        self.dispatch(node, Event::ManifestAdopted(accepted));
    }

    /// Hands a caller's request to the VM that its draw picks among those that accept callers; without any, it is lost.
    fn arrive(&mut self, index: usize) {
        let planned = &self.run.requests[index];
        let accepting: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.nodes[n].accepts)
            .collect();
        if accepting.is_empty() {
            return;
        }
        let node = accepting[(planned.vm_draw * accepting.len() as f64) as usize % accepting.len()];
        let service = Arc::clone(&self.manifest.services[0]);
        let request = index as RequestId + 1;
        let arrived = self.started_at + self.now;
        let deadline = arrived + service.rules[planned.rule].deadline();
        self.nodes[node].requests.insert(request, index);
        let arrival = Arrival {
            request,
            route: Route {
                service,
                rule: planned.rule,
            },
            caller: planned.caller.clone(),
            key: planned.key.clone(),
            arrived,
            deadline,
        };
        self.dispatch(node, Event::Arrived(arrival));
    }

    /// Hands an event to a dispatcher and performs the actions that it returns.
    pub(super) fn dispatch(&mut self, node: usize, event: Event) {
        if !self.nodes[node].runs {
            return;
        }
        let mut actions = Vec::new();
        let now = self.started_at + self.now;
        let dispatcher = &mut self.nodes[node].dispatcher;
        dispatcher.on_event(now, event, &mut actions);
        let next_tick = dispatcher.next_tick();
        for action in actions {
            self.perform(node, action);
        }
        if let Some(due) = next_tick {
            self.schedule_tick(node, due.saturating_duration_since(self.started_at));
        }
    }

    /// Schedules a dispatcher's next tick unless an earlier one is scheduled already.
    fn schedule_tick(&mut self, node: usize, due: Duration) {
        let due = due.max(self.now + Duration::from_micros(1));
        let scheduled = self.nodes[node].tick;
        if scheduled.is_none_or(|scheduled| due < scheduled) {
            self.nodes[node].tick = Some(due);
            self.schedule(due, FleetEvent::Tick(node));
        }
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
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
            FleetEvent::ProbeArrived(node, server, job) => self.receive_probe(node, server, job),
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
        let index = *self.nodes[node].requests.get(&request)?;
        self.run.requests[index].key.clone()
    }

    /// Claims the idempotency key of a request; the result arrives after the claim time.
    fn claim(&mut self, node: usize, request: RequestId) {
        let Some(key) = self.key(node, request) else {
            return;
        };
        let end = self.claims.claim(&key);
        let at = self.now + self.run.deployment.claim_time;
        self.schedule(at, FleetEvent::Claimed(node, request, end));
    }

    /// Hands a claim's result to the dispatcher. A request that must not be sent is answered here, as the daemon's
    /// claim task does.
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

    /// Records how a request ended for its caller; only the first end counts.
    pub(super) fn record_end(&mut self, node: usize, request: RequestId, end: End) {
        let Some(&index) = self.nodes[node].requests.get(&request) else {
            return;
        };
        let record = &mut self.records[index];
        if record.end == End::Lost {
            record.end = end;
            record.latency = self.now - record.arrived_at;
        }
    }
}
