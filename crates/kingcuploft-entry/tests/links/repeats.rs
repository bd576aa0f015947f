//! The repeats of all VMs together stay within their budget while servers refuse requests and VMs are killed.

use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::world::ids::ServiceName;
use tokio::time::Instant;

use crate::fleet::{Fleet, Links, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// The share of attempts that the servers refuse.
const REFUSED_SHARE: f64 = 0.6;

/// The most attempts of a request.
const MOST_SENDS: u32 = 3;

/// How long a killed VM stays down.
const DOWNTIME: Duration = Duration::from_millis(500);

/// How long the servers refuse.
const REFUSAL_PERIOD: Duration = Duration::from_secs(30);

/// What is simulated.
#[derive(Clone, Copy)]
struct Scenario {
    /// How many VMs each zone has.
    zones: &'static [usize],
    /// Requests a second, of all callers.
    per_s: u32,
    /// The repeats allowed in addition to the share of the requests.
    allowance: f64,
    /// The shares of the VMs that are killed, and when.
    kills: &'static [(f64, Duration)],
    seed: u64,
}

/// When requests arrived and when requests were repeated, counted from the start of the refusals.
#[derive(Default)]
struct Observed {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Scenario {
    fn bounds(&self) -> RepeatBounds {
        RepeatBounds {
            ratio: 0.2,
            allowance: self.allowance,
            window: Duration::from_secs(10),
        }
    }

    fn power_on(&self, fleet: &Fleet, vm: usize) {
        fleet.power_on(vm, false);
        self.set_bounds(fleet, vm);
    }

    fn set_bounds(&self, fleet: &Fleet, vm: usize) {
        let host = fleet.network.host(vm).expect("it has power");
        let mut bounds = host.context.bounds.get();
        bounds.repeats = self.bounds();
        host.context.bounds.set(bounds);
    }

    /// Simulates callers, servers that refuse requests, and VMs that are killed and restarted.
    async fn run(&self) -> Observed {
        let fleet = Fleet::start(self.zones, LINKS, 5, self.seed).await;
        (0..fleet.len()).for_each(|vm| self.set_bounds(&fleet, vm));
        let mut rng = Rng::with_seed(self.seed);
        let mut kills = self.kills.iter().peekable();
        let mut powered_off: Vec<(Instant, usize)> = Vec::new();
        let started_at = Instant::now();
        let mut observed = Observed::default();
        while started_at.elapsed() < REFUSAL_PERIOD {
            if let Some((share, _)) = kills.next_if(|(_, at)| started_at.elapsed() >= *at) {
                let count = (share * fleet.len() as f64) as usize;
                for vm in rng.choose_multiple(0..fleet.len(), count) {
                    fleet.power_off(vm);
                    powered_off.push((Instant::now() + DOWNTIME, vm));
                }
            }
            powered_off.retain(|(until, vm)| {
                let is_due = Instant::now() >= *until;
                if is_due {
                    self.power_on(&fleet, *vm);
                }
                !is_due
            });
            self.send_request(&fleet, &mut rng, started_at, &mut observed);
            tokio::time::sleep(Duration::from_secs(1) / self.per_s).await;
        }
        observed
    }

    fn send_request(
        &self,
        fleet: &Fleet,
        rng: &mut Rng,
        started_at: Instant,
        observed: &mut Observed,
    ) {
        let service: ServiceName = "trip".into();
        observed.requests.push(started_at.elapsed());
        let Some(host) = fleet.network.host(rng.usize(0..fleet.len())) else {
            return;
        };
        let now = Instant::now().into_std();
        host.context.count_request(now, &service);
        let mut sends = 1;
        while sends < MOST_SENDS && rng.f64() < REFUSED_SHARE {
            if !host.context.take_repeat(now, &service) {
                return;
            }
            observed.repeats.push(started_at.elapsed());
            sends += 1;
        }
    }

    /// Fails if any window has more repeats than all VMs together may make.
    fn check(&self, observed: &Observed) {
        let bounds = self.bounds();
        for from in (0..200).map(|step| Duration::from_millis(100) * step) {
            let repeats = count(&observed.repeats, from, bounds.window);
            let before = [bounds.window, bounds.window / 2, Duration::ZERO];
            let requests = before
                .iter()
                .filter_map(|earlier| from.checked_sub(*earlier));
            let requests = requests.map(|at| count(&observed.requests, at, bounds.window));
            let requests = requests.max().unwrap_or_default();
            let allowed = bounds.ratio * requests as f64 + bounds.allowance;
            assert!(
                repeats as f64 <= allowed,
                "seed {}: {repeats} repeats in the window from {from:?} for {requests} requests; allowed {allowed}",
                self.seed,
            );
        }
    }
}

fn count(times: &[Duration], from: Duration, window: Duration) -> usize {
    let within = times.iter().filter(|at| **at >= from);
    within.filter(|at| **at < from + window).count()
}

const FOUR_KILLS: [(f64, Duration); 4] = [
    (0.6, Duration::from_millis(2000)),
    (0.6, Duration::from_millis(4000)),
    (0.6, Duration::from_millis(6000)),
    (0.6, Duration::from_millis(8000)),
];

const TWO_KILLS: [(f64, Duration); 2] = [
    (0.6, Duration::from_millis(5000)),
    (0.6, Duration::from_millis(9000)),
];

const TWO_KILLS_OF_ALL: [(f64, Duration); 2] = [
    (1.0, Duration::from_millis(4000)),
    (1.0, Duration::from_millis(8000)),
];

/// Nineteen VMs, none of which is killed.
const NO_KILLS: Scenario = Scenario {
    zones: &[6, 5, 5, 3],
    per_s: 48,
    allowance: 64.0,
    kills: &[],
    seed: 1,
};

/// Guards against a VM that loses what it has used of the budget of repeats when it restarts.
#[test]
fn vms_killed_again_and_again_stay_within_the_budget_of_repeats() {
    for seed in 1..=3 {
        simulate(async {
            let scenario = Scenario {
                kills: &FOUR_KILLS,
                seed,
                ..NO_KILLS
            };
            scenario.check(&scenario.run().await);
        });
    }
}

/// Guards against a bound that is kept by denying callers the repeats that are left.
#[test]
fn vms_that_come_back_go_on_with_what_is_left_of_the_budget_of_repeats() {
    for seed in 1..=3 {
        simulate(async {
            let undisturbed = Scenario { seed, ..NO_KILLS };
            let killed = Scenario {
                kills: &TWO_KILLS,
                ..undisturbed
            };
            let first = |observed: &Observed| {
                count(
                    &observed.repeats,
                    Duration::ZERO,
                    2 * undisturbed.bounds().window,
                )
            };
            let (undisturbed, killed) =
                (first(&undisturbed.run().await), first(&killed.run().await));
            assert!(
                10 * killed >= 9 * undisturbed,
                "{killed} of {undisturbed}, seed {seed}"
            );
        });
    }
}

/// Guards against a fleet that loses all its state at once and gets its whole allowance anew.
#[test]
fn vms_killed_all_at_once_stay_within_the_budget_of_repeats() {
    for seed in 1..=3 {
        simulate(async {
            let scenario = Scenario {
                kills: &TWO_KILLS_OF_ALL,
                seed,
                ..NO_KILLS
            };
            scenario.check(&scenario.run().await);
        });
    }
}

/// Guards against the loss of used budget in a fleet so large that the zones' records name only some of the VMs.
#[test]
fn a_hundred_vms_killed_again_and_again_stay_within_the_budget_of_repeats() {
    simulate(async {
        let scenario = Scenario {
            zones: &[34, 30, 30, 21],
            per_s: 280,
            allowance: 184.0,
            kills: &FOUR_KILLS,
            seed: 1,
        };
        scenario.check(&scenario.run().await);
    });
}

/// Checks that the budget is used: the tests above would also pass if no VM ever repeated.
#[test]
fn vms_that_run_on_use_most_of_the_budget_of_repeats() {
    simulate(async {
        let observed = NO_KILLS.run().await;
        NO_KILLS.check(&observed);
        let used = count(&observed.repeats, Duration::ZERO, Duration::from_secs(10));
        let allowed = 0.2 * 480.0 + 64.0;
        assert!(used as f64 >= 0.7 * allowed, "{used} of {allowed}");
    });
}
