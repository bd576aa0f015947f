//! The account of one VM's requests and repeats within the last window, compact enough to be sent to another VM.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::repeat_budget::RepeatBounds;
use crate::world::ids::ServiceName;

/// Number of time steps that a window is divided into.
const STEPS: u32 = 20;

/// The index of the oldest step that is counted: that of a repeat, which counts for a tenth longer than the window.
const LAST_STEP: usize = 22;

/// One VM's requests for a service and their repeats, counted per time step, the latest step first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

impl Account {
    /// Adds requests of this age.
    pub fn add_requests(&mut self, age: Duration, bounds: &RepeatBounds, count: u32) {
        add(&mut self.requests, age, bounds, count);
    }

    /// Adds repeats of this age.
    pub fn add_repeats(&mut self, age: Duration, bounds: &RepeatBounds, count: u32) {
        add(&mut self.repeats, age, bounds, count);
    }

    /// Adds the counts of a snapshot.
    pub fn add(&mut self, snapshot: &AccountSnapshot, now: Instant, bounds: &RepeatBounds) {
        for (age, count) in snapshot.ages(&snapshot.account.requests, now, bounds) {
            if age <= bounds.window {
                self.add_requests(age, bounds, count);
            }
        }
        for (age, count) in snapshot.ages(&snapshot.account.repeats, now, bounds) {
            if age <= bounds.repeat_lifetime() {
                self.add_repeats(age, bounds, count);
            }
        }
    }

    /// Returns whether there is any repeat.
    pub fn has_repeats(&self) -> bool {
        self.repeats.iter().any(|count| *count > 0)
    }
}

fn add(counts: &mut Vec<u32>, age: Duration, bounds: &RepeatBounds, count: u32) {
    let index = (age.as_secs_f64() / step(bounds).as_secs_f64()) as usize;
    let index = index.min(LAST_STEP);
    if counts.len() <= index {
        counts.resize(index + 1, 0);
    }
    if let Some(counted) = counts.get_mut(index) {
        *counted = counted.saturating_add(count);
    }
}

fn step(bounds: &RepeatBounds) -> Duration {
    bounds.window / STEPS
}

/// An account at a point in time.
#[derive(Clone, Debug)]
pub struct AccountSnapshot {
    /// The account.
    pub account: Account,
    /// The point in time.
    pub as_of: Instant,
}

impl AccountSnapshot {
    /// Returns the requests that may still be counted: each is assumed to be as old as its step allows.
    pub fn requests(&self, now: Instant, bounds: &RepeatBounds) -> usize {
        let ages = self.ages(&self.account.requests, now, bounds);
        let counted = ages.filter(|(age, _)| *age + step(bounds) <= bounds.window);
        counted.map(|(_, count)| count as usize).sum()
    }

    /// Returns the repeats that must still be counted: each is assumed to be as recent as its step allows.
    pub fn repeats(&self, now: Instant, bounds: &RepeatBounds) -> usize {
        let ages = self.ages(&self.account.repeats, now, bounds);
        let counted = ages.filter(|(age, _)| *age <= bounds.repeat_lifetime());
        counted.map(|(_, count)| count as usize).sum()
    }

    /// Returns the counts of the steps with the ages of their ends.
    fn ages<'a>(
        &'a self,
        counts: &'a [u32],
        now: Instant,
        bounds: &RepeatBounds,
    ) -> impl Iterator<Item = (Duration, u32)> + 'a {
        let since = now.saturating_duration_since(self.as_of);
        let step = step(bounds);
        let ages = (0..).map(move |index: u32| since + step * index);
        ages.zip(counts.iter().copied())
    }
}

/// One VM's use of the repeat budget, as it is sent to its replicas and back.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// For how many more milliseconds repeats from before the VM's start count, which the VM does not know.
    pub unknown_ms: u64,
    /// How many milliseconds ago the sender of this report last received anything from the VM.
    pub heard_ms: u64,
    /// The accounts of the services to which it repeated requests.
    pub accounts: Vec<ServiceAccount>,
}

/// The account of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceAccount {
    /// The service.
    pub service: ServiceName,
    /// How many milliseconds ago it was reported.
    pub age_ms: u64,
    /// The account at that time.
    pub account: Account,
}

impl UsageReport {
    /// Splits the report into parts of at most `most` services each; a report without services is one part.
    pub fn split(mut self, most: usize) -> Vec<Self> {
        let (unknown_ms, heard_ms) = (self.unknown_ms, self.heard_ms);
        let mut parts = Vec::new();
        while self.accounts.len() > most {
            let accounts = self.accounts.split_off(self.accounts.len() - most);
            parts.push(Self {
                unknown_ms,
                heard_ms,
                accounts,
            });
        }
        parts.push(self);
        parts
    }
}
