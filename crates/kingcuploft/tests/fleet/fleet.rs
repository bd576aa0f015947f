//! The fleet: events in virtual time, with the decisions of the product.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::entry::attempts::{AttemptEnd, Attempts};
use kingcuploft::entry::failure_rate::FailureRate;
use kingcuploft::entry::good_share::GoodShare;
use kingcuploft::entry::last_slot_slowdown::LastSlotSlowdown;
use kingcuploft::entry::placement::{LoadReport, ProbeScope, Slot};
use kingcuploft::entry::probe_budget::ProbeBudget;
use kingcuploft::entry::probe_fanout::MAX_PROBED_FIRST;
use kingcuploft::entry::repeat_budget::RepeatBudget;
use kingcuploft::entry::service_time::ServiceTime;
use kingcuploft::world::contract::Contract;

use crate::world::{
    FAR_LATENCY, FaultKind, Micros, NEAR_LATENCY, Outcome, SERVICE, SLOWNESS,
    SPEED_CHANGE_INTERVAL, World,
};

/// The queue length of a server; it refuses further requests as not run.
const QUEUE_LENGTH: usize = 4;

/// How long the VMs have run when the traffic starts.
const BEFORE_TRAFFIC: Duration = Duration::from_secs(8);

/// How many times longer the work of a long request is.
const LONG_WORK_FACTOR: f64 = 10.0;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    Arrives,
    Choose(usize),
    ProbeArrives(usize, usize),
    ProbeAnswers(usize, usize),
    ProbeFails(usize, usize),
    Reaches {
        request: usize,
        server: usize,
    },
    Done {
        server: usize,
        job: usize,
    },
    Answers {
        request: usize,
        server: usize,
        end: u8,
    },
    Returns(usize),
    ConsiderHedge {
        request: usize,
        server: usize,
    },
    SendHedge {
        request: usize,
        server: usize,
        asked_at: Micros,
    },
    Deadline(usize),
}

/// The ends of an attempt that a server causes, by index.
const ENDS: [AttemptEnd; 3] = [
    AttemptEnd::Succeeded,
    AttemptEnd::Failed,
    AttemptEnd::NotRun,
];

pub(crate) struct Request {
    pub(crate) vm: usize,
    pub(crate) arrived: Micros,
    pub(crate) work_ms: f64,
    pub(crate) kind: usize,
    pub(crate) attempts: Attempts,
    pub(crate) tried: Vec<usize>,
    pub(crate) in_flight: u32,
    pub(crate) reached: u32,
    pub(crate) selection_started_at: Micros,
    pub(crate) reach: ProbeScope,
    /// How many near servers are probed before others are.
    pub(crate) most_near: usize,
    pub(crate) over: bool,
    /// Whether its caller has come back.
    pub(crate) has_returned: bool,
    /// When it was last sent, and, if known, how slow the server was then and which slot it took.
    pub(crate) sent: (Micros, Option<(f64, Slot)>),
}

#[derive(Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) vm: usize,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) running: Vec<(usize, Job)>,
    pub(crate) queue: VecDeque<Job>,
    pub(crate) jobs: usize,
    /// Slot time that probes took, which is added to the next work.
    pub(crate) debt_ms: f64,
}

#[derive(Clone, Default)]
pub(crate) struct View {
    pub(crate) load_report: Option<(Micros, LoadReport)>,
    pub(crate) probe_pending: bool,
    pub(crate) avoided_until: Micros,
    pub(crate) sent: Vec<Micros>,
    pub(crate) failures: FailureRate,
}

pub(crate) struct Vm {
    pub(crate) views: Vec<View>,
    pub(crate) probing: ProbeBudget,
    pub(crate) repeats: RepeatBudget,
    pub(crate) times: [ServiceTime; 2],
    pub(crate) last_slot: LastSlotSlowdown,
    pub(crate) good_share: GoodShare,
}

/// Simulates a deployment and returns the answers that callers got.
pub(crate) fn simulate(world: &World) -> Outcome {
    let mut fleet = Fleet::new(world);
    fleet.at(0, Event::Arrives);
    while let Some(Reverse((now, _, event))) = fleet.events.pop() {
        fleet.now = now;
        fleet.handle(event);
    }
    let server_seconds = world.servers as f64 * world.seconds;
    fleet.outcome.probes_per_s = f64::from(fleet.probes) / server_seconds;
    fleet.outcome
}

pub(crate) struct Fleet<'a> {
    pub(crate) world: &'a World,
    pub(crate) rng: Rng,
    pub(crate) start: Instant,
    pub(crate) now: Micros,
    pub(crate) order: u64,
    pub(crate) events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    pub(crate) requests: Vec<Request>,
    pub(crate) servers: Vec<Server>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) probes: u32,
    pub(crate) outcome: Outcome,
}

impl<'a> Fleet<'a> {
    fn new(world: &'a World) -> Self {
        let servers = (0..world.servers).map(|_| Server::default());
        let start = Instant::now();
        let vm = || Vm {
            views: vec![View::default(); world.servers],
            probing: ProbeBudget::new(start),
            repeats: RepeatBudget::for_first_start(),
            times: Default::default(),
            last_slot: LastSlotSlowdown::default(),
            good_share: GoodShare::default(),
        };
        Self {
            world,
            rng: Rng::with_seed(world.seed),
            start,
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            servers: servers.collect(),
            vms: (0..world.vms).map(|_| vm()).collect(),
            probes: 0,
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + BEFORE_TRAFFIC + Duration::from_micros(at)
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives => self.arrives(),
            Event::Choose(request) => self.choose(request),
            Event::ProbeArrives(vm, server) => self.probe_arrives(vm, server),
            Event::ProbeAnswers(vm, server) => self.probe_answers(vm, server),
            Event::ProbeFails(vm, server) => self.probe_fails(vm, server),
            Event::Reaches { request, server } => self.reaches(request, server),
            Event::Done { server, job } => self.done(server, job),
            Event::Answers {
                request,
                server,
                end,
            } => self.answers(request, server, ENDS[usize::from(end)]),
            Event::Returns(request) => self.returns(request),
            Event::ConsiderHedge { request, server } => self.consider_hedge(request, server),
            Event::SendHedge {
                request,
                server,
                asked_at,
            } => self.send_hedge(request, server, asked_at),
            Event::Deadline(request) => self.deadline(request),
        }
    }

    pub(crate) fn fault_kind(&self, server: usize, at: Micros) -> Option<FaultKind> {
        let mut faults = self.world.faults.iter();
        let struck = faults.find(|f| f.server == server && (f.from..f.until).contains(&at));
        struck.map(|fault| fault.kind)
    }

    pub(crate) fn slowness(&self, server: usize) -> f64 {
        let mut draw = Rng::with_seed(
            self.world.seed ^ ((server as u64) << 32) ^ (self.now / SPEED_CHANGE_INTERVAL),
        );
        let drawn = match draw.u32(..4) {
            0 => SLOWNESS,
            _ => 1.0,
        };
        match self.fault_kind(server, self.now) {
            Some(FaultKind::Slow(times)) => drawn.max(times),
            _ => drawn,
        }
    }

    pub(crate) fn link(&self, vm: usize, server: usize) -> Micros {
        match vm % self.world.zones == server % self.world.zones {
            true => NEAR_LATENCY,
            false => FAR_LATENCY,
        }
    }

    pub(crate) fn live_vms(&self) -> usize {
        match self.world.lost_vms {
            Some((from, lost)) if self.now >= from => self.world.vms - lost,
            _ => self.world.vms,
        }
    }

    pub(crate) fn load_report(&self, server: usize) -> LoadReport {
        let of = &self.servers[server];
        LoadReport {
            running: of.running.len() as u32,
            waiting: of.queue.len() as u32,
            slots: self.world.slots,
            slowness: self.slowness(server),
        }
    }

    pub(crate) fn arrives(&mut self) {
        let world = self.world;
        let long = self.rng.f64() < world.long_share;
        let work_ms = world.work_ms * if long { LONG_WORK_FACTOR } else { 1.0 };
        let vm = self.rng.usize(..self.live_vms());
        let request = self.requests.len();
        self.requests.push(Request {
            vm,
            arrived: self.now,
            work_ms,
            kind: usize::from(long),
            attempts: Attempts::new(Contract::RetryFreely, 2),
            tried: Vec::new(),
            in_flight: 0,
            reached: 0,
            selection_started_at: self.now,
            reach: ProbeScope::Near,
            most_near: self.probed_first(vm),
            over: false,
            has_returned: false,
            sent: (self.now, None),
        });
        self.outcome.requests += 1;
        self.outcome.short_requests += u32::from(!long);
        let now = self.instant(self.now);
        self.vms[vm].repeats.record_request(now, &SERVICE.into());
        self.at(self.now, Event::Choose(request));
        let deadline = self.now + micros(self.deadline_ms(request));
        self.at(deadline, Event::Deadline(request));
        let gap = -self.rng.f64().max(1e-9).ln() / world.per_s;
        let next = self.now + (gap * 1e6) as Micros;
        if next < micros(world.seconds * 1000.0) {
            self.at(next, Event::Arrives);
        }
    }

    /// Returns how many near servers a request of this VM probes first.
    fn probed_first(&self, vm: usize) -> usize {
        match self.world.features.learns_good_share {
            true => self.vms[vm].good_share.probed_first(),
            false => MAX_PROBED_FIRST,
        }
    }

    /// A caller comes back, at whichever VM; its target and deadline count from its first attempt.
    fn returns(&mut self, request: usize) {
        let vm = self.rng.usize(..self.live_vms());
        let of = &mut self.requests[request];
        of.vm = vm;
        of.attempts = Attempts::new(Contract::RetryFreely, 2);
        of.tried.clear();
        of.reached = 0;
        of.selection_started_at = self.now;
        of.reach = ProbeScope::Near;
        of.over = false;
        self.requests[request].most_near = self.probed_first(vm);
        let now = self.instant(self.now);
        self.vms[vm].repeats.record_request(now, &SERVICE.into());
        self.at(self.now, Event::Choose(request));
    }

    pub(crate) fn stretch(&self, request: usize) -> f64 {
        self.requests[request].work_ms / self.world.work_ms
    }

    pub(crate) fn deadline_ms(&self, request: usize) -> f64 {
        self.world.deadline_ms * self.stretch(request)
    }

    pub(crate) fn probe_arrives(&mut self, vm: usize, server: usize) {
        if self.fault_kind(server, self.now) == Some(FaultKind::Silent) {
            return;
        }
        self.servers[server].debt_ms += self.world.probe_cost_ms;
        let back = self.now + self.link(vm, server);
        self.at(back, Event::ProbeAnswers(vm, server));
    }

    pub(crate) fn reaches(&mut self, request: usize, server: usize) {
        let vm = self.requests[request].vm;
        self.requests[request].reached += 1;
        self.outcome.arrivals += 1;
        self.outcome.repeats += u32::from(self.requests[request].reached > 1);
        self.outcome.far += u32::from(self.link(vm, server) == FAR_LATENCY);
        let before = self.now.saturating_sub(2 * FAR_LATENCY);
        let had_left = self.fault_kind(server, before) == Some(FaultKind::Drains);
        self.outcome.after_draining += u32::from(had_left);
        let job = Job { request, vm };
        if let Some(FaultKind::TurnsAway(share)) = self.fault_kind(server, self.now)
            && self.rng.f64() < share
        {
            return self.answer(server, job, 2);
        }
        let slots = self.world.slots as usize;
        if self.servers[server].running.len() < slots {
            self.start(server, job);
        } else if self.servers[server].queue.len() < QUEUE_LENGTH {
            self.servers[server].queue.push_back(job);
        } else {
            self.answer(server, job, 2);
        }
    }

    pub(crate) fn start(&mut self, server: usize, job: Job) {
        let varies = 0.7 + 0.6 * self.rng.f64();
        let work_ms = self.requests[job.request].work_ms * self.slowness(server) * varies;
        let of = &mut self.servers[server];
        let work_ms = match of.running.len() {
            before if before > 0 && before + 1 == self.world.slots as usize => {
                work_ms * self.world.last_slot
            }
            _ => work_ms,
        };
        let taken_ms = work_ms + std::mem::take(&mut of.debt_ms);
        of.jobs += 1;
        let number = of.jobs;
        of.running.push((number, job));
        let end = self.now + micros(taken_ms);
        self.at(
            end,
            Event::Done {
                server,
                job: number,
            },
        );
    }

    pub(crate) fn done(&mut self, server: usize, number: usize) {
        let running = &mut self.servers[server].running;
        let Some(at) = running.iter().position(|(n, _)| *n == number) else {
            return;
        };
        let (_, job) = running.swap_remove(at);
        let end = match self.fault_kind(server, self.now) {
            Some(FaultKind::Silent) => None,
            Some(FaultKind::FailsShare(share)) if self.rng.f64() < share => Some(1),
            _ => Some(0),
        };
        if let Some(end) = end {
            self.answer(server, job, end);
        }
        while let Some(next) = self.servers[server].queue.pop_front() {
            if !self.requests[next.request].over {
                return self.start(server, next);
            }
        }
    }

    pub(crate) fn answer(&mut self, server: usize, job: Job, end: u8) {
        let back = self.now + self.link(job.vm, server);
        let request = job.request;
        self.at(
            back,
            Event::Answers {
                request,
                server,
                end,
            },
        );
    }
}

fn micros(millis: f64) -> Micros {
    (millis * 1000.0) as Micros
}
