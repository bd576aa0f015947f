//! Deployments that nobody has tuned anything for, drawn by seed.

use crate::fleet::play;
use crate::world::{Choose, Outcome, Parts, WHOLE, World};

/// The seeds played by each run of the tests. The whole two hundred take minutes.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// How callers fare in one drawn deployment: the shares answered in time.
#[derive(Debug)]
struct Compared {
    seed: u64,
    own: f64,
    naive: f64,
    ideal: f64,
}

impl Compared {
    fn play(seed: u64) -> Self {
        let in_time = |choose| {
            let parts = Parts { choose, ..WHOLE };
            Outcome::in_time_share(&play(&World::drawn(seed).with(parts)))
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

/// Guards against a deployment, drawn by chance, that is served worse than by naive choices.
#[test]
fn callers_of_a_drawn_deployment_get_no_less_than_by_naive_choices() {
    for seed in SEEDS {
        let compared = Compared::play(seed);
        assert!(compared.own > compared.naive - 0.02, "{compared:?}");
    }
}

/// Run by hand: `cargo test --release --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; its figures stand in docs/measurements/further.md"]
fn two_hundred_drawn_deployments() {
    let mut all: Vec<Compared> = (1..=200).map(Compared::play).collect();
    all.sort_by(|a, b| a.of_ideal().total_cmp(&b.of_ideal()));
    let worse = all.iter().filter(|c| c.own < c.naive - 0.02).count();
    println!("worse than a naive choice by more than 0.02: {worse}");
    for part in [0, 5, 10, 25, 50, 75, 90] {
        println!("{part} in 100: {:?}", all[all.len() * part / 100]);
    }
    all[..10]
        .iter()
        .for_each(|worst| println!("{worst:?} {:?}", World::drawn(worst.seed)));
    assert!(worse <= all.len() / 20);
}
