//! Searches for days that break a rule, as an evolutionary fuzzer does: keeps the days that came nearest to a bound,
//! mutates them, and goes on from the results.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::utils::HashMap;
use serde::Serialize;

use crate::day::Day;
use crate::generator;
use crate::planted_fault::{self, PlantedFault};
use crate::rules::{self, BoundUsage, Rule};
use crate::simulation;

/// How many of the nearest days are kept for each rule.
const KEPT_DAYS_PER_RULE: usize = 6;

/// The share of days that are generated from nothing although nearest days are known.
const GENERATED_SHARE: f64 = 0.2;

/// The share of days derived from known ones that splice two of them instead of mutating one.
const SPLICED_SHARE: f64 = 0.2;

/// The settings of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// The name of the deployment.
    pub deployment: String,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The greatest number of days to run.
    pub max_days: usize,
    /// For how long new days are begun.
    pub time_limit: Duration,
    /// How many threads run days.
    pub jobs: usize,
    /// Whether known days are mutated; if not, all days are generated from nothing.
    pub is_mutating: bool,
    /// Whether the search stops at the first day that breaks a rule.
    pub stops_at_first: bool,
    /// The fault that is planted in the VMs, if any.
    pub planted: Option<PlantedFault>,
}

/// A day and its usage of one rule's bound.
#[derive(Clone, Debug)]
pub struct NearDay {
    /// The day.
    pub day: Day,
    /// How near it came to the bound of the rule.
    pub usage: BoundUsage,
}

/// The result of a search.
#[derive(Debug, Default, Serialize)]
pub struct SearchResult {
    /// How many days were run.
    pub days: usize,
    /// How many days had been run when a rule first broke.
    pub first_broken_after: Option<usize>,
    /// The nearest days of each rule, nearest first.
    #[serde(skip)]
    pub nearest: HashMap<Rule, Vec<NearDay>>,
    /// Each improvement of a rule's nearest day: the number of days run, the rule and the usage of its bound.
    pub course: Vec<(usize, Rule, f64)>,
}

impl SearchResult {
    fn add(&mut self, day: &Day, usages: Vec<BoundUsage>) {
        self.days += 1;
        for usage in usages {
            if usage.is_broken() && self.first_broken_after.is_none() {
                self.first_broken_after = Some(self.days);
            }
            let of_rule = self.nearest.entry(usage.rule).or_default();
            let is_nearest = of_rule
                .first()
                .is_none_or(|near| near.usage.used < usage.used);
            if is_nearest {
                let used = usage.used;
                self.course.push((self.days, usage.rule, used));
            }
            let day = day.clone();
            of_rule.push(NearDay { day, usage });
            of_rule.sort_by(|a, b| b.usage.used.total_cmp(&a.usage.used));
            of_rule.truncate(KEPT_DAYS_PER_RULE);
        }
    }

    /// Returns the days that came near to the bound of one rule; the rules take turns by `turn`.
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

    /// Returns the nearest day of each broken rule.
    pub fn broken(&self) -> Vec<&NearDay> {
        let nearest = Rule::ALL
            .iter()
            .filter_map(|rule| self.nearest.get(rule)?.first());
        nearest.filter(|near| near.usage.is_broken()).collect()
    }
}

impl Search {
    /// Runs the search; calls `progress` with the number of days run whenever a day is the first to break a rule.
    pub fn run(&self, progress: impl Fn(usize, &BoundUsage) + Sync) -> SearchResult {
        let result = Mutex::new(SearchResult::default());
        let (started_at, next_number, is_done) =
            (Instant::now(), AtomicUsize::new(0), AtomicBool::new(false));
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| {
                    while !is_done.load(Ordering::Relaxed) && started_at.elapsed() < self.time_limit
                    {
                        let number = next_number.fetch_add(1, Ordering::Relaxed);
                        if number >= self.max_days {
                            return;
                        }
                        let mut rng =
                            Rng::with_seed(self.seed.wrapping_mul(1_000_003) + number as u64);
                        let day = self.next_day(&mut rng, number, &result);
                        let Ok(usages) = planted_fault::run_with(self.planted, || check_day(&day))
                        else {
                            return;
                        };
                        let Ok(mut result) = result.lock() else {
                            return;
                        };
                        let broken = usages.iter().filter(|usage| usage.is_broken());
                        for usage in broken {
                            let known = result.nearest.get(&usage.rule).and_then(|n| n.first());
                            if known.is_none_or(|known| !known.usage.is_broken()) {
                                progress(result.days + 1, usage);
                            }
                            is_done.fetch_or(self.stops_at_first, Ordering::Relaxed);
                        }
                        result.add(&day, usages);
                    }
                });
            }
        });
        result.into_inner().unwrap_or_default()
    }

    /// Returns the next day to run: a generated one, or a mutation or splice of days that came near to a bound. The
    /// rules take turns in supplying these days.
    fn next_day(&self, rng: &mut Rng, number: usize, result: &Mutex<SearchResult>) -> Day {
        if !self.is_mutating || rng.f64() < GENERATED_SHARE {
            return generator::generate(rng, &self.deployment);
        }
        let near = result
            .lock()
            .map(|result| result.days_near_next_bound(number));
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

/// Runs a day and checks it against all rules.
///
/// # Errors
///
/// Returns an error if the day can't be run.
pub fn check_day(day: &Day) -> Result<Vec<BoundUsage>, simulation::RunError> {
    Ok(rules::check(&simulation::run_unlogged(day)?))
}
