//! Random deployments by seed, for which nothing was tuned.

use crate::fleet::simulate;
use crate::world::{ALL_FEATURES, Choose, Features, Outcome, World};

/// The seeds of each test run; all two hundred take minutes.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// The shares of requests answered in time in one random deployment, by selection.
#[derive(Debug)]
struct Compared {
    seed: u64,
    own: f64,
    naive: f64,
    ideal: f64,
}

impl Compared {
    fn simulate(seed: u64) -> Self {
        let in_time = |choose| {
            let features = Features {
                choose,
                ..ALL_FEATURES
            };
            Outcome::in_time_share(&simulate(&World::random(seed).with(features)))
        };
        Self {
            seed,
            own: in_time(Choose::Placement),
            naive: in_time(Choose::Random).max(in_time(Choose::LeastOwn)),
            ideal: in_time(Choose::Ideal),
        }
    }

    fn of_ideal(&self) -> f64 {
        self.own / self.ideal.max(0.01)
    }
}

/// Failure: a random deployment is served worse than by naive selection.
#[test]
fn random_deployments_are_served_no_worse_than_by_naive_selection() {
    for seed in SEEDS {
        let compared = Compared::simulate(seed);
        assert!(compared.own > compared.naive - 0.02, "{compared:?}");
    }
}

/// Run manually: `cargo test --release --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; its figures stand in docs/measurements/further.md"]
fn two_hundred_drawn_deployments() {
    let mut all: Vec<Compared> = (1..=200).map(Compared::simulate).collect();
    all.sort_by(|a, b| a.of_ideal().total_cmp(&b.of_ideal()));
    let worse = all.iter().filter(|c| c.own < c.naive - 0.02).count();
    println!("worse than a naive choice by more than 0.02: {worse}");
    for part in [0, 5, 10, 25, 50, 75, 90] {
        println!("{part} in 100: {:?}", all[all.len() * part / 100]);
    }
    all[..10]
        .iter()
        .for_each(|worst| println!("{worst:?} {:?}", World::random(worst.seed)));
    assert!(worse <= all.len() / 20);
}
