//! The naive version: one vector, scanned for every answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kingcuploft::decisions::admission::QueuedRequest;
use kingcuploft::decisions::priority_scheduler::{self, PriorityScheduler};
use kingcuploft::decisions::service_time::{DequeueInterval, ServiceTime};
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::ids::{Caller, RequestId, RuleName};
use kingcuploft::world::refusal::RefusalReason;

struct Item {
    waiting: QueuedRequest,
    priority: usize,
    position: (u64, u64),
    cost_us: u64,
    latest_start: Instant,
}

/// The decision on an offered request.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Queued,
    InsteadOf(RequestId),
    Refused(RefusalReason),
}

pub(crate) struct Naive {
    items: Vec<Item>,
    scheduler: PriorityScheduler,
    dequeue_intervals: [DequeueInterval; 3],
    times: BTreeMap<RuleName, ServiceTime>,
    next_start: BTreeMap<Caller, u64>,
    virtual_time_us: u64,
    arrivals: u64,
}

impl Naive {
    pub(crate) fn new(settings: &AdmissionSettings) -> Self {
        Self {
            items: Vec::new(),
            scheduler: PriorityScheduler::new(settings),
            dequeue_intervals: Default::default(),
            times: BTreeMap::new(),
            next_start: BTreeMap::new(),
            virtual_time_us: 0,
            arrivals: 0,
        }
    }

    fn time(&self, rule: &RuleName) -> ServiceTime {
        self.times.get(rule).copied().unwrap_or_default()
    }

    fn in_priority(&self, priority: usize) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(move |i| i.priority == priority)
    }

    fn wait(&self, now: Instant, priority: usize, ahead: usize) -> Duration {
        self.dequeue_intervals[priority]
            .expected(now)
            .mul_f64(ahead as f64)
    }

    pub(crate) fn offer(&mut self, now: Instant, waiting: QueuedRequest) -> Outcome {
        let priority = priority_scheduler::priority_index(waiting.priority);
        let own = |caller: &Caller| {
            let items = self.in_priority(priority);
            items.filter(|i| i.waiting.caller == *caller).count()
        };
        let mut callers: Vec<&Caller> = self
            .in_priority(priority)
            .map(|i| &i.waiting.caller)
            .collect();
        callers.sort();
        callers.dedup();
        let (own_waiting, len) = (own(&waiting.caller), self.in_priority(priority).count());
        let ahead = len.min(((2 * own_waiting + 1) * callers.len()).div_ceil(2));
        let wait = self.wait(now, priority, ahead);
        let left = waiting.deadline - now;
        let is_standing =
            self.dequeue_intervals[priority].nonempty_for(now) > Duration::from_millis(300);
        let too_long = is_standing && wait > left.mul_f64(0.1);
        if ahead > 0 && (too_long || wait + self.time(&waiting.rule).p90() > left) {
            return Outcome::Refused(RefusalReason::DeadlineUnreachable);
        }
        let limit = waiting.queue_limit as usize;
        let share = (waiting.caller_share * f64::from(waiting.queue_limit)) as usize;
        if len > own_waiting && own_waiting >= share.max(1) {
            return Outcome::Refused(RefusalReason::CallerShare);
        }
        let of_rule = self.items.iter().filter(|i| i.waiting.rule == waiting.rule);
        let mut outcome = Outcome::Queued;
        if of_rule.count() >= limit {
            let heaviest = callers.into_iter().max_by_key(|c| (own(c), (*c).clone()));
            let heaviest = heaviest.filter(|c| own(c) > 2 * (own_waiting + 1));
            let last = heaviest.and_then(|caller| {
                let items = self.in_priority(priority);
                let items = items.filter(|i| i.waiting.caller == *caller);
                items.max_by_key(|i| i.position)
            });
            match last.filter(|last| last.waiting.rule == waiting.rule) {
                None => return Outcome::Refused(RefusalReason::QueueFull),
                Some(last) => outcome = Outcome::InsteadOf(last.waiting.request),
            }
        }
        if let Outcome::InsteadOf(other) = outcome {
            self.remove(other);
        }
        self.push(now, priority, waiting);
        outcome
    }

    fn push(&mut self, now: Instant, priority: usize, waiting: QueuedRequest) {
        if self.in_priority(priority).next().is_none() {
            self.dequeue_intervals[priority].record_queue_start(now);
        }
        self.arrivals += 1;
        let time = self.time(&waiting.rule);
        let cost_us = time
            .mean()
            .map_or(1_000, |mean| mean.as_micros() as u64)
            .max(1);
        let next = self.next_start.entry(waiting.caller.clone());
        let next = next.or_default();
        let start = (*next).max(self.virtual_time_us);
        *next = start + cost_us;
        self.items.push(Item {
            priority,
            position: (start, self.arrivals),
            cost_us,
            latest_start: waiting.deadline - time.median(),
            waiting,
        });
    }

    /// Returns the next request and whether it is served.
    pub(crate) fn next(&mut self, now: Instant) -> Option<(RequestId, bool)> {
        let waits = |p| self.in_priority(p).next().is_some();
        let priority = self.scheduler.next(waits)?;
        let at = (0..self.items.len()).filter(|&i| self.items[i].priority == priority);
        let at = at.min_by_key(|&i| self.items[i].position)?;
        let first = &self.items[at];
        let hopeless = first.latest_start <= now && self.items.len() > 1;
        if hopeless || first.waiting.deadline <= now {
            let request = first.waiting.request;
            self.remove(request);
            return Some((request, false));
        }
        let item = self.items.remove(at);
        self.scheduler.record_served(priority);
        let first = self.items.iter().map(|i| i.position.0).min();
        self.virtual_time_us = self.virtual_time_us.max(first.unwrap_or(item.position.0));
        let others_wait = self.in_priority(priority).next().is_some();
        self.dequeue_intervals[priority].record_dequeue(now, others_wait);
        Some((item.waiting.request, true))
    }

    pub(crate) fn give_up(&mut self, now: Instant) -> Option<RequestId> {
        let first = self
            .items
            .iter()
            .min_by_key(|i| (i.latest_start, i.waiting.request))?;
        if first.latest_start <= now {
            let request = first.waiting.request;
            self.remove(request);
            return Some(request);
        }
        let late = (0..3).find_map(|priority| {
            let last = self.in_priority(priority).max_by_key(|i| i.position)?;
            let ahead = self.in_priority(priority).count() - 1;
            let needed = self.wait(now, priority, ahead) + self.time(&last.waiting.rule).median();
            (needed > last.waiting.deadline - now).then_some(last.waiting.request)
        })?;
        self.remove(late);
        Some(late)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        let at = self.items.iter().position(|i| i.waiting.request == request);
        let Some(at) = at else {
            return false;
        };
        let item = self.items.remove(at);
        let next = self.next_start.get_mut(&item.waiting.caller);
        if let Some(next) = next {
            *next = next.saturating_sub(item.cost_us);
        }
        if self.in_priority(item.priority).next().is_none() {
            self.dequeue_intervals[item.priority].reset();
        }
        true
    }

    pub(crate) fn measured(&mut self, rule: &RuleName, time: Duration) {
        self.times.entry(rule.clone()).or_default().record(time);
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }
}
