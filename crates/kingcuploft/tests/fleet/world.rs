//! The simulated deployment: its load, its faults, and which features of the product are enabled.

use std::time::Duration;

/// The time since the start, in microseconds.
pub(crate) type Micros = u64;

/// How the server of a request is selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choose {
    /// By recent load reports, as the product does.
    Placement,
    /// At random.
    Random,
    /// The server with the fewest requests of the same VM.
    LeastOwn,
    /// By the true state of all servers at that moment, which no VM can know: an upper bound.
    Ideal,
}

/// The enabled features of the product.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Features {
    pub(crate) choose: Choose,
    /// Lookups that take long are hedged.
    pub(crate) hedges: bool,
    /// Requests wait for a good server, and are refused when none can answer in time.
    pub(crate) waits: bool,
    /// Servers that fail are avoided.
    pub(crate) avoids_failing: bool,
    /// Requests that can't be answered in time leave the slots to others.
    pub(crate) yields_when_late: bool,
    /// Probes are limited by their budget.
    pub(crate) probe_budget: bool,
    /// The last-slot slowdown is learned from the answers.
    pub(crate) learns_last_slot: bool,
    /// The number of near servers that are probed first is learned from their load reports.
    pub(crate) learns_good_share: bool,
    /// Callers are told by what servers have turned away when they may come back; otherwise always the same.
    pub(crate) tells_when_to_return: bool,
}

/// All features.
pub(crate) const ALL_FEATURES: Features = Features {
    choose: Choose::Placement,
    hedges: true,
    waits: true,
    avoids_failing: true,
    yields_when_late: true,
    probe_budget: true,
    learns_last_slot: true,
    learns_good_share: true,
    tells_when_to_return: true,
};

/// What happens to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// Its work takes this many times as long.
    Slow(f64),
    /// It answers neither requests nor probes.
    Silent,
    /// It fails this share of its requests, and reports that it is healthy.
    FailsShare(f64),
    /// It turns away this share of its requests at once, though it has room.
    TurnsAway(f64),
    /// It drains, and must get no new requests.
    Drains,
}

/// A period during which a server is faulty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) server: usize,
    pub(crate) kind: FaultKind,
    pub(crate) from: Micros,
    pub(crate) until: Micros,
}

/// A deployment, its load and its faults.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) seed: u64,
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    pub(crate) zones: usize,
    pub(crate) slots: u32,
    pub(crate) work_ms: f64,
    pub(crate) target_ms: f64,
    pub(crate) deadline_ms: f64,
    /// Requests per second, and the share of them that take ten times as long.
    pub(crate) per_s: f64,
    pub(crate) long_share: f64,
    pub(crate) seconds: f64,
    /// How many times longer work takes in the last slot of a server.
    pub(crate) last_slot: f64,
    /// The slot time that a probe takes.
    pub(crate) probe_cost_ms: f64,
    /// From this time on this many VMs are gone, and their callers use the others.
    pub(crate) lost_vms: Option<(Micros, usize)>,
    /// Callers whose request was refused come back once, when they were told to.
    pub(crate) callers_return: bool,
    /// The VM count by which budgets are divided, if it is not the true one.
    pub(crate) assumed_vms: Option<usize>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) features: Features,
}

/// The bound on probes per server and second.
pub(crate) const PROBES_PER_S: f64 = 60.0;

/// The one service.
pub(crate) const SERVICE: &str = "trip";

/// The bounds on repeats.
pub(crate) const REPEAT_RATIO: f64 = 0.2;
pub(crate) const REPEAT_ALLOWANCE: f64 = 58.0;
pub(crate) const REPEAT_WINDOW: Duration = Duration::from_secs(10);

impl World {
    /// A booking service under normal load: 14 VMs, 16 servers with two slots, half of their capacity used.
    pub(crate) fn normal_load(seed: u64) -> Self {
        Self {
            seed,
            vms: 14,
            servers: 16,
            zones: 4,
            slots: 2,
            work_ms: 60.0,
            target_ms: 200.0,
            deadline_ms: 500.0,
            per_s: 100.0,
            long_share: 0.0,
            seconds: 20.0,
            last_slot: 1.0,
            probe_cost_ms: 6.0,
            lost_vms: None,
            callers_return: false,
            assumed_vms: None,
            faults: Vec::new(),
            features: ALL_FEATURES,
        }
    }

    /// Normal load on servers whose two slots share a processor: work in the second slot takes 1.7 times as long. A
    /// little over a third of the slots is in use, and every third answer of a second slot is late.
    pub(crate) fn shared_processors(seed: u64) -> Self {
        Self {
            work_ms: 220.0,
            target_ms: 480.0,
            deadline_ms: 1500.0,
            per_s: 25.0,
            last_slot: 1.7,
            ..Self::normal_load(seed)
        }
    }

    /// A random deployment by its seed: few or many VMs, servers, zones and slots, short or long work, tight or loose
    /// targets, probes that cost slot time or don't, and a load from a third of the servers' capacity to a third beyond
    /// it.
    pub(crate) fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(0x9E37_79B9));
        let mut between = |least: f64, most: f64| least + (most - least) * rng.f64();
        let work_ms = 30.0 * between(0.0, 3.0).exp();
        let target_ms = work_ms * between(2.2, 4.0);
        let servers = between(6.0, 40.0) as usize;
        let slots = between(1.0, 7.0) as u32;
        let last_slot = [1.0, 1.7][between(0.0, 2.0) as usize];
        let all_slots = servers as f64 * f64::from(slots);
        let load = between(0.35, 1.35);
        Self {
            seed,
            vms: between(3.0, 30.0) as usize,
            servers,
            zones: between(1.0, 6.0) as usize,
            slots,
            work_ms,
            target_ms,
            deadline_ms: target_ms * between(2.0, 3.0),
            per_s: load * all_slots * 1000.0 / (work_ms * MEAN_SLOWNESS * last_slot),
            last_slot,
            probe_cost_ms: [0.0, 6.0][between(0.0, 2.0) as usize],
            seconds: 8.0,
            ..Self::normal_load(seed)
        }
    }

    /// Normal load scaled to this multiple of the servers' capacity, with their slow quarter of the time taken into
    /// account.
    pub(crate) fn overload(seed: u64, times: f64) -> Self {
        let calm = Self::normal_load(seed);
        let slots = calm.servers as f64 * f64::from(calm.slots);
        let per_s = times * slots * 1000.0 / (calm.work_ms * MEAN_SLOWNESS);
        Self { per_s, ..calm }
    }

    pub(crate) fn with(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Makes the first servers faulty from the fourth second to the twelfth.
    pub(crate) fn with_faults(mut self, servers: usize, kind: FaultKind) -> Self {
        self.faults.extend((0..servers).map(|server| Fault {
            server,
            kind,
            from: 4_000_000,
            until: 12_000_000,
        }));
        self
    }
}

/// The slowness of the slow quarter of the draws, and the mean over all.
pub(crate) const SLOWNESS: f64 = 5.0;
pub(crate) const MEAN_SLOWNESS: f64 = 0.75 + 0.25 * SLOWNESS;

/// The time between two changes of the server speeds.
pub(crate) const SPEED_CHANGE_INTERVAL: Micros = 150_000;

/// The one-way latency within a zone, and to another.
pub(crate) const NEAR_LATENCY: Micros = 100;
pub(crate) const FAR_LATENCY: Micros = 1_000;

/// The answers that callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u32,
    /// Answered within the target.
    pub(crate) in_time: u32,
    /// Answered after it.
    pub(crate) late: u32,
    /// Refused with "not run".
    pub(crate) refused: u32,
    /// Answered with a failure, or not before the deadline.
    pub(crate) failed: u32,
    /// The longest time until a refusal, in milliseconds.
    pub(crate) longest_refusal_ms: f64,
    /// How often requests reached servers, and how many of these were repeats.
    pub(crate) arrivals: u32,
    pub(crate) repeats: u32,
    /// Arrivals at a server that had been draining for more than a round trip.
    pub(crate) after_draining: u32,
    /// Arrivals in another zone.
    pub(crate) far: u32,
    /// Probes per server and second.
    pub(crate) probes_per_s: f64,
    /// The same outcome for the short requests alone.
    pub(crate) short_in_time: u32,
    pub(crate) short_requests: u32,
}

impl Outcome {
    /// Returns the share of the requests that were answered within the target.
    pub(crate) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    /// Returns the share of the requests that were answered at all.
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }
}
