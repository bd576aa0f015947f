//! Repeats of all VMs together, while servers refuse what they get and VMs are killed.

use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::world::ids::ServiceName;
use tokio::time::Instant;

use crate::fleet::{Fleet, Links, play};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// The share of sends that the servers refuse.
const REFUSED: f64 = 0.6;

/// How often a request may be sent.
const MOST_SENDS: u32 = 3;

/// For how long a VM that was killed is away.
const AWAY: Duration = Duration::from_millis(500);

/// How long the servers refuse.
const LASTS: Duration = Duration::from_secs(30);

/// What is played.
#[derive(Clone, Copy)]
struct Play {
    /// How many VMs each zone has.
    zones: &'static [usize],
    /// Requests a second, of all callers.
    per_s: u32,
    /// Repeats allowed beside the share of the requests.
    allowance: f64,
    /// The share of the VMs that is killed, and when.
    kills: &'static [(f64, Duration)],
    seed: u64,
}

/// When requests came and when one was sent once more, from the begin of the refusals.
#[derive(Default)]
struct Seen {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Play {
    fn bounds(&self) -> RepeatBounds {
        RepeatBounds {
            ratio: 0.2,
            allowance: self.allowance,
            window: Duration::from_secs(10),
        }
    }

    fn power_on(&self, fleet: &Fleet, vm: usize) {
        fleet.power_on(vm, false);
        self.bind(fleet, vm);
    }

    fn bind(&self, fleet: &Fleet, vm: usize) {
        let host = fleet.network.host(vm).expect("it has power");
        let mut bounds = host.context.bounds.get();
        bounds.repeats = self.bounds();
        host.context.bounds.set(bounds);
    }

    /// Plays callers, servers that refuse, and VMs that are killed.
    async fn seen(&self) -> Seen {
        let fleet = Fleet::start(self.zones, LINKS, 5, self.seed).await;
        (0..fleet.len()).for_each(|vm| self.bind(&fleet, vm));
        let mut rng = Rng::with_seed(self.seed);
        let mut kills = self.kills.iter().peekable();
        let mut away: Vec<(Instant, usize)> = Vec::new();
        let begun = Instant::now();
        let mut seen = Seen::default();
        while begun.elapsed() < LASTS {
            if let Some((share, _)) = kills.next_if(|(_, at)| begun.elapsed() >= *at) {
                let count = (share * fleet.len() as f64) as usize;
                for vm in rng.choose_multiple(0..fleet.len(), count) {
                    fleet.power_off(vm);
                    away.push((Instant::now() + AWAY, vm));
                }
            }
            away.retain(|(until, vm)| {
                let is_back = Instant::now() >= *until;
                if is_back {
                    self.power_on(&fleet, *vm);
                }
                !is_back
            });
            self.one_request(&fleet, &mut rng, begun, &mut seen);
            tokio::time::sleep(Duration::from_secs(1) / self.per_s).await;
        }
        seen
    }

    fn one_request(&self, fleet: &Fleet, rng: &mut Rng, begun: Instant, seen: &mut Seen) {
        let service: ServiceName = "trip".into();
        seen.requests.push(begun.elapsed());
        let Some(host) = fleet.network.host(rng.usize(0..fleet.len())) else {
            return;
        };
        let now = Instant::now().into_std();
        host.context.count_request(now, &service);
        let mut sends = 1;
        while sends < MOST_SENDS && rng.f64() < REFUSED {
            if !host.context.take_repeat(now, &service) {
                return;
            }
            seen.repeats.push(begun.elapsed());
            sends += 1;
        }
    }

    /// Fails if there are more repeats in a window than all VMs may make together.
    fn check(&self, seen: &Seen) {
        let bounds = self.bounds();
        for from in (0..200).map(|step| Duration::from_millis(100) * step) {
            let repeats = count(&seen.repeats, from, bounds.window);
            let before = [bounds.window, bounds.window / 2, Duration::ZERO];
            let requests = before
                .iter()
                .filter_map(|earlier| from.checked_sub(*earlier));
            let requests = requests.map(|at| count(&seen.requests, at, bounds.window));
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

const KILLS: [(f64, Duration); 4] = [
    (0.6, Duration::from_millis(2000)),
    (0.6, Duration::from_millis(4000)),
    (0.6, Duration::from_millis(6000)),
    (0.6, Duration::from_millis(8000)),
];

const KILLED_TWICE: [(f64, Duration); 2] = [
    (0.6, Duration::from_millis(5000)),
    (0.6, Duration::from_millis(9000)),
];

const ALL_KILLED_TWICE: [(f64, Duration); 2] = [
    (1.0, Duration::from_millis(4000)),
    (1.0, Duration::from_millis(8000)),
];

/// Nineteen VMs, none of which is killed.
const CALM: Play = Play {
    zones: &[6, 5, 5, 3],
    per_s: 48,
    allowance: 64.0,
    kills: &[],
    seed: 1,
};

/// Guards against a VM that forgets, when it restarts, what it has used of the budget of repeats.
#[test]
fn vms_killed_again_and_again_stay_within_the_budget_of_repeats() {
    for seed in 1..=3 {
        play(async {
            let played = Play {
                kills: &KILLS,
                seed,
                ..CALM
            };
            played.check(&played.seen().await);
        });
    }
}

/// Guards against a bound that is kept by leaving callers without the repeats that are left.
#[test]
fn vms_that_come_back_go_on_with_what_is_left_of_the_budget_of_repeats() {
    for seed in 1..=3 {
        play(async {
            let calm = Play { seed, ..CALM };
            let killed = Play {
                kills: &KILLED_TWICE,
                ..calm
            };
            let first =
                |seen: &Seen| count(&seen.repeats, Duration::ZERO, 2 * calm.bounds().window);
            let (calm, killed) = (first(&calm.seen().await), first(&killed.seen().await));
            assert!(10 * killed >= 9 * calm, "{killed} of {calm}, seed {seed}");
        });
    }
}

/// Guards against a fleet that has forgotten all and begins its allowance anew.
#[test]
fn vms_killed_all_at_once_stay_within_the_budget_of_repeats() {
    for seed in 1..=3 {
        play(async {
            let played = Play {
                kills: &ALL_KILLED_TWICE,
                seed,
                ..CALM
            };
            played.check(&played.seen().await);
        });
    }
}

/// The same as for nineteen VMs, where records name only some of them.
#[test]
fn a_hundred_vms_killed_again_and_again_stay_within_the_budget_of_repeats() {
    play(async {
        let played = Play {
            zones: &[34, 30, 30, 21],
            per_s: 280,
            allowance: 184.0,
            kills: &KILLS,
            seed: 1,
        };
        played.check(&played.seen().await);
    });
}

/// Without this the tests above could hold for a budget that nobody uses.
#[test]
fn vms_that_run_on_use_most_of_the_budget_of_repeats() {
    play(async {
        let seen = CALM.seen().await;
        CALM.check(&seen);
        let used = count(&seen.repeats, Duration::ZERO, Duration::from_secs(10));
        let allowed = 0.2 * 480.0 + 64.0;
        assert!(used as f64 >= 0.7 * allowed, "{used} of {allowed}");
    });
}
