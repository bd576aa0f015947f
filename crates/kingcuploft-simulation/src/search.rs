//! Searches for days that break a rule: it keeps those that came nearest to a bound, changes them, and goes on from there.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::utils::HashMap;
use serde::Serialize;

use crate::day::Day;
use crate::generator;
use crate::planted_fault::{self, Planted};
use crate::rules::{self, BoundUsage, Rule};
use crate::simulation;

/// How many days are kept for each rule.
const KEPT_DAYS_PER_RULE: usize = 6;

/// How often a day is drawn anew all the same.
const GENERATED_SHARE: f64 = 0.2;

/// How often two near days are joined, rather than one changed.
const SPLICED_SHARE: f64 = 0.2;

/// What is searched.
#[derive(Clone, Debug)]
pub struct Search {
    /// The deployment.
    pub deployment: String,
    /// What its chances are drawn from.
    pub seed: u64,
    /// The most days that are played.
    pub max_days: usize,
    /// How long it may take.
    pub time_limit: Duration,
    /// How many threads play.
    pub jobs: usize,
    /// Whether days are changed, or only drawn.
    pub is_mutating: bool,
    /// Whether it ends with the first day that breaks a rule.
    pub stops_at_first: bool,
    /// The fault that is planted.
    pub planted: Option<Planted>,
}

/// A day, and how near it came to a bound.
#[derive(Clone, Debug)]
pub struct NearDay {
    /// The day.
    pub day: Day,
    /// How near it came.
    pub usage: BoundUsage,
}

/// What a search found.
#[derive(Debug, Default, Serialize)]
pub struct SearchResult {
    /// How many days were played.
    pub days: usize,
    /// How many of them had been played when the first rule broke.
    pub first_broken_after: Option<usize>,
    /// The nearest days of each rule, the nearest first.
    #[serde(skip)]
    pub nearest: HashMap<Rule, Vec<NearDay>>,
    /// How near the nearest day of each rule had come, by days played.
    pub course: Vec<(usize, Rule, f64)>,
}

impl SearchResult {
    fn add(&mut self, day: &Day, distances: Vec<BoundUsage>) {
        self.days += 1;
        for distance in distances {
            if distance.is_broken() && self.first_broken_after.is_none() {
                self.first_broken_after = Some(self.days);
            }
            let of_rule = self.nearest.entry(distance.rule).or_default();
            let is_nearest = of_rule
                .first()
                .is_none_or(|near| near.usage.used < distance.used);
            if is_nearest {
                let used = distance.used;
                self.course.push((self.days, distance.rule, used));
            }
            let day = day.clone();
            of_rule.push(NearDay {
                day,
                usage: distance,
            });
            of_rule.sort_by(|a, b| b.usage.used.total_cmp(&a.usage.used));
            of_rule.truncate(KEPT_DAYS_PER_RULE);
        }
    }

    /// Returns the days that came near to one bound; which one goes by turns.
    fn days_near_next_bound(&self, turn: usize) -> Vec<Day> {
        let of_rule = |rule: &Rule| {
            let near = self.nearest.get(rule)?;
            let near = near.iter().filter(|near| near.usage.used > 0.0);
            let near: Vec<_> = near.map(|near| near.day.clone()).collect();
            (!near.is_empty()).then_some(near)
        };
        let mut all: Vec<_> = Rule::ALL.iter().filter_map(of_rule).collect();
        match all.is_empty() {
            true => Vec::new(),
            false => all.swap_remove(turn % all.len()),
        }
    }

    /// Returns the nearest day of each rule that is broken.
    pub fn broken(&self) -> Vec<&NearDay> {
        let nearest = Rule::ALL
            .iter()
            .filter_map(|rule| self.nearest.get(rule)?.first());
        nearest.filter(|near| near.usage.is_broken()).collect()
    }
}

impl Search {
    /// Searches; `progress` is told of each rule that a day broke first.
    pub fn run(&self, progress: impl Fn(usize, &BoundUsage) + Sync) -> SearchResult {
        let found = Mutex::new(SearchResult::default());
        let (begun, next, ends) = (Instant::now(), AtomicUsize::new(0), AtomicBool::new(false));
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| {
                    while !ends.load(Ordering::Relaxed) && begun.elapsed() < self.time_limit {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= self.max_days {
                            return;
                        }
                        let mut rng =
                            Rng::with_seed(self.seed.wrapping_mul(1_000_003) + number as u64);
                        let day = self.next_day(&mut rng, number, &found);
                        let Ok(distances) =
                            planted_fault::run_with(self.planted, || check_day(&day))
                        else {
                            return;
                        };
                        let Ok(mut found) = found.lock() else {
                            return;
                        };
                        let broken = distances.iter().filter(|distance| distance.is_broken());
                        for distance in broken {
                            let known = found.nearest.get(&distance.rule).and_then(|n| n.first());
                            if known.is_none_or(|known| !known.usage.is_broken()) {
                                progress(found.days + 1, distance);
                            }
                            ends.fetch_or(self.stops_at_first, Ordering::Relaxed);
                        }
                        found.add(&day, distances);
                    }
                });
            }
        });
        found.into_inner().unwrap_or_default()
    }

    /// Returns a day that is drawn, or one that came near to a bound and is changed or joined with another such; the bounds
    /// that days come near to take turns.
    fn next_day(&self, rng: &mut Rng, number: usize, found: &Mutex<SearchResult>) -> Day {
        if !self.is_mutating || rng.f64() < GENERATED_SHARE {
            return generator::generate(rng, &self.deployment);
        }
        let near = found.lock().map(|found| found.days_near_next_bound(number));
        let near = near.unwrap_or_default();
        match rng.choice(&near) {
            Some(day) if rng.f64() < SPLICED_SHARE => {
                let other = rng.choice(&near).unwrap_or(day);
                generator::splice(rng, day, other)
            }
            Some(day) => generator::mutate(rng, day),
            None => generator::generate(rng, &self.deployment),
        }
    }
}

/// Plays a day and judges it.
///
/// # Errors
///
/// Returns an error if it can't be played.
pub fn check_day(day: &Day) -> Result<Vec<BoundUsage>, simulation::RunError> {
    Ok(rules::check(&simulation::run_unlogged(day)?))
}
