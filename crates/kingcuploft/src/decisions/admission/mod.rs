//! Admission control: which requests are served, wait or are refused.
//!
//! **Load pattern:** bursts and overload: more requests than the slots can answer in time. **Without it** every request
//! waits until its deadline, most answers come too late, and slots work for callers who have disconnected. **Grounds:**
//! a request is admitted where its expected wait (the requests served before it, at the measured service rate) and a
//! high percentile of its service time end before its deadline; a refusal in a millisecond beats an answer after the
//! deadline. A request that can not be served in time any more is refused at once, with the time after which to retry:
//! it is not kept waiting for a deadline that it will miss.

mod offer;
mod queue_entry;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

pub use self::offer::{AdmissionDecision, NextRequest, QueuedRequest, WaitEstimate};
use self::queue_entry::{QueueEntry, RuleLoad};
use super::fair_queue::{CallerShares, FairQueue};
use super::priority_scheduler::{self, PRIORITY_COUNT, PriorityScheduler};
use super::service_time::{DequeueInterval, ServiceTime};
use crate::manifest::Service;
use crate::settings::admission::AdmissionSettings;
use crate::utils::HashMap;
use crate::world::ids::{IdempotencyKey, RequestId, RuleName};
use crate::world::refusal::{Refusal, RefusalReason};

/// The shortest and the longest `Retry-After` that a caller is given.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(10));

/// The `Retry-After` of a duplicate of a key that is being worked on.
const KEY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The slot time that a request is charged with before any was measured, in µs.
const UNMEASURED_COST_US: u64 = 1_000;

/// The waiting requests of one service on one VM.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    queues: [FairQueue; PRIORITY_COUNT],
    dequeue_intervals: [DequeueInterval; PRIORITY_COUNT],
    shares: CallerShares,
    scheduler: PriorityScheduler,
    entries: HashMap<RequestId, QueueEntry>,
    latest_starts: BTreeSet<(Instant, RequestId)>,
    rules: HashMap<RuleName, RuleLoad>,
    keys: HashMap<IdempotencyKey, u32>,
}

impl Admission {
    /// Creates an empty queue for a service.
    pub fn new(service: &Service) -> Self {
        let settings = service.policy.admission.clone();
        Self {
            queues: Default::default(),
            dequeue_intervals: Default::default(),
            shares: CallerShares::new(settings.callers_remembered),
            scheduler: PriorityScheduler::new(&settings),
            entries: HashMap::default(),
            latest_starts: BTreeSet::new(),
            rules: HashMap::default(),
            keys: HashMap::default(),
            settings,
        }
    }

    /// Takes the settings of a new manifest; requests that wait stay.
    pub fn update_service(&mut self, service: &Service) {
        self.settings = service.policy.admission.clone();
        self.shares.resize(self.settings.callers_remembered);
        self.scheduler.update_settings(&self.settings);
        let kept = |rule: &RuleName| service.rules.iter().any(|r| r.name == *rule);
        self.rules
            .retain(|rule, load| kept(rule) || load.waiting + load.claiming > 0);
    }

    /// Estimates the wait of a new request.
    pub fn estimate_wait(&self, now: Instant, waiting: &QueuedRequest) -> WaitEstimate {
        let priority = self.priority(waiting);
        let queue = &self.queues[priority];
        let ahead = match self.settings.fair_share {
            true => queue.requests_ahead_of(&waiting.caller),
            false => queue.len(),
        };
        self.estimate_wait_behind(now, priority, ahead, &waiting.rule)
    }

    fn estimate_wait_behind(
        &self,
        now: Instant,
        priority: usize,
        ahead: usize,
        rule: &RuleName,
    ) -> WaitEstimate {
        let wait = self.dequeue_intervals[priority]
            .expected(now)
            .mul_f64(ahead as f64);
        WaitEstimate {
            ahead,
            wait,
            service_time: self.service_time(rule).p90(),
        }
    }

    /// Decides on a new request without queueing it.
    pub fn check(&self, now: Instant, waiting: &QueuedRequest) -> AdmissionDecision {
        if let Some(refusal) = self.refusal_by_key(waiting) {
            return AdmissionDecision::Refused(refusal);
        }
        let estimate = self.estimate_wait(now, waiting);
        let left = waiting.deadline.saturating_duration_since(now);
        let contended = estimate.ahead > 0;
        let too_late = estimate.wait + estimate.service_time > left;
        let too_long = estimate.wait > self.max_wait(now, waiting, left);
        if self.settings.deadline_aware && contended && (too_late || too_long) {
            return AdmissionDecision::Refused(
                self.deadline_unreachable(waiting.request, estimate.wait),
            );
        }
        self.check_shares(waiting, estimate.wait)
    }

    /// Returns how long a new request may wait.
    ///
    /// A burst may use the whole deadline: it ends, and then everybody was served. A standing queue is overload:
    /// however long it is, the slots do the same work, and a longer queue only makes every answer later and more of
    /// them too late.
    fn max_wait(&self, now: Instant, waiting: &QueuedRequest, left: Duration) -> Duration {
        let standing_after = Duration::from_millis(self.settings.standing_after_ms);
        match self.dequeue_intervals[self.priority(waiting)].nonempty_for(now) > standing_after {
            true => left.mul_f64(self.settings.standing_wait_share),
            false => left,
        }
    }

    /// Refuses duplicates of a key beyond its limit. The refusal does not say that the request has "not run": the
    /// request with that key which is being worked on may run.
    fn refusal_by_key(&self, waiting: &QueuedRequest) -> Option<Refusal> {
        let in_progress = *self.keys.get(waiting.key.as_ref()?)?;
        let refusal = Refusal::unknown(RefusalReason::KeyShare).retry_after(KEY_RETRY_AFTER);
        (in_progress >= self.settings.key_limit).then_some(refusal)
    }

    /// Decides by the rule's and the caller's share of the queue.
    fn check_shares(&self, waiting: &QueuedRequest, wait: Duration) -> AdmissionDecision {
        let load = self.rules.get(&waiting.rule);
        let in_progress = load.map_or(0, |load| load.waiting + load.claiming);
        let limit = waiting.queue_limit as usize;
        let full = in_progress >= limit;
        if !self.settings.fair_share {
            return match full {
                true => AdmissionDecision::Refused(refused(
                    RefusalReason::QueueFull,
                    waiting.request,
                    wait,
                )),
                false => AdmissionDecision::Queued,
            };
        }
        let queue = &self.queues[self.priority(waiting)];
        let own = queue.waiting_of_caller(&waiting.caller);
        let share = (waiting.caller_share * f64::from(waiting.queue_limit)) as usize;
        let others_wait = queue.len() > own;
        if others_wait && own >= share.max(1) {
            let reason = RefusalReason::CallerShare;
            return AdmissionDecision::Refused(refused(reason, waiting.request, wait));
        }
        if !full {
            return AdmissionDecision::Queued;
        }
        // The other caller must have twice as many requests, so that chance alone does not evict one that waits
        // already.
        let evictable = queue.last_of_heaviest_above(2 * (own + 1));
        match evictable.filter(|evictable| evictable.rule == waiting.rule) {
            Some(evictable) => {
                let reason = RefusalReason::CallerShare;
                let refusal = refused(reason, evictable.request, wait);
                AdmissionDecision::QueuedReplacing(evictable.request, refusal)
            }
            None => {
                AdmissionDecision::Refused(refused(RefusalReason::QueueFull, waiting.request, wait))
            }
        }
    }

    /// Queues a request, or refuses it.
    pub fn offer(&mut self, now: Instant, waiting: QueuedRequest) -> AdmissionDecision {
        let offer = self.check(now, &waiting);
        match offer {
            AdmissionDecision::Refused(_) => return offer,
            AdmissionDecision::QueuedReplacing(other, _) => drop(self.remove(other)),
            AdmissionDecision::Queued => {}
        }
        self.push(now, waiting);
        offer
    }

    fn push(&mut self, now: Instant, waiting: QueuedRequest) {
        let request = waiting.request;
        let priority = self.priority(&waiting);
        if self.queues[priority].is_empty() {
            self.dequeue_intervals[priority].record_queue_start(now);
        }
        let load = self.rules.entry(waiting.rule.clone()).or_default();
        load.waiting += 1;
        let mean = load.service_time.mean();
        let cost_us = mean.map_or(UNMEASURED_COST_US, |mean| mean.as_micros() as u64);
        let latest_start = match self.settings.deadline_aware {
            true => waiting.deadline - load.service_time.median(),
            false => waiting.deadline,
        };
        let start_us = match self.settings.fair_share {
            true => self.shares.charge(&waiting.caller, cost_us),
            false => 0,
        };
        let position = self.queues[priority].push(waiting, start_us);
        self.latest_starts.insert((latest_start, request));
        self.entries.insert(
            request,
            QueueEntry {
                priority,
                position,
                cost_us,
                latest_start,
            },
        );
    }

    /// Takes the next request off the queue, for a slot that is free.
    ///
    /// A request that is too late is shed in favour of another that waits. The only one that waits is served whatever
    /// was measured: a free slot costs nothing, and where a slow spell has made every request look too late, its answer
    /// is the one sample that corrects the estimate.
    pub fn next(&mut self, now: Instant) -> NextRequest {
        let Some(priority) = self.scheduler.next(|i| self.has_waiting(i)) else {
            return NextRequest::Empty;
        };
        if let Some(refusal) = self.shed_first(now, priority) {
            return refusal;
        }
        let Some((waiting, start_us)) = self.queues[priority].pop() else {
            return NextRequest::Empty;
        };
        self.scheduler.record_served(priority);
        self.remove_from_indexes(&waiting);
        self.dequeue_intervals[priority].record_dequeue(now, self.has_waiting(priority));
        let starts = self.queues.iter().filter_map(FairQueue::first_start_us);
        self.shares.advance(starts.min().unwrap_or(start_us));
        NextRequest::Serve(waiting)
    }

    fn shed_first(&mut self, now: Instant, priority: usize) -> Option<NextRequest> {
        let first = self.queues[priority].first()?;
        let (request, overdue) = (first.request, first.deadline <= now);
        let too_late = self.entries.get(&request)?.latest_start <= now;
        let others_wait = self.len() > 1;
        if !overdue && (!too_late || !others_wait) {
            return None;
        }
        self.remove(request);
        let wait = self.dequeue_intervals[priority].mean().unwrap_or_default();
        Some(NextRequest::Shed(
            request,
            self.deadline_unreachable(request, wait),
        ))
    }

    /// Sheds a request that can not be answered in time any more, while no slot is free.
    ///
    /// That is one whose remaining time is shorter than the median service time, or the last of a priority where the
    /// queue has slowed down so much that its turn comes too late.
    pub fn shed_one(&mut self, now: Instant) -> Option<(RequestId, Refusal)> {
        let &(at, request) = self.latest_starts.first()?;
        if at <= now {
            let priority = self.entries.get(&request)?.priority;
            let wait = self.dequeue_intervals[priority].mean().unwrap_or_default();
            self.remove(request);
            return Some((request, self.deadline_unreachable(request, wait)));
        }
        if !self.settings.deadline_aware {
            return None;
        }
        (0..PRIORITY_COUNT).find_map(|priority| self.shed_last(now, priority))
    }

    fn shed_last(&mut self, now: Instant, priority: usize) -> Option<(RequestId, Refusal)> {
        let queue = &self.queues[priority];
        let last = queue.last()?;
        let ahead = queue.len() - 1;
        let estimate = self.estimate_wait_behind(now, priority, ahead, &last.rule);
        let left = last.deadline.saturating_duration_since(now);
        if estimate.wait + self.service_time(&last.rule).median() <= left {
            return None;
        }
        let request = last.request;
        self.remove(request);
        Some((request, self.deadline_unreachable(request, estimate.wait)))
    }

    /// Takes a request off the queue that is not served; returns whether it waited.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let Some(entry) = self.entries.get(&request).copied() else {
            return false;
        };
        let queue = &mut self.queues[entry.priority];
        let Some(waiting) = queue.remove(entry.position) else {
            return false;
        };
        self.shares.refund(&waiting.caller, entry.cost_us);
        self.remove_from_indexes(&waiting);
        if !self.has_waiting(entry.priority) {
            self.dequeue_intervals[entry.priority].reset();
        }
        true
    }

    fn remove_from_indexes(&mut self, waiting: &QueuedRequest) {
        if let Some(entry) = self.entries.remove(&waiting.request) {
            self.latest_starts
                .remove(&(entry.latest_start, waiting.request));
        }
        if let Some(load) = self.rules.get_mut(&waiting.rule) {
            load.waiting -= 1;
        }
    }

    /// Records that a request's claim was started: the request counts against its rule's queue limit, and its key is
    /// being worked on until [`Self::key_ended`].
    pub fn claim_started(&mut self, rule: &RuleName, key: Option<&IdempotencyKey>) {
        self.rules.entry(rule.clone()).or_default().claiming += 1;
        if let Some(key) = key {
            *self.keys.entry(key.clone()).or_default() += 1;
        }
    }

    /// Records that a claim was decided.
    pub fn claim_ended(&mut self, rule: &RuleName) {
        if let Some(load) = self.rules.get_mut(rule) {
            load.claiming = load.claiming.saturating_sub(1);
        }
    }

    /// Records that a request with this key has ended.
    pub fn key_ended(&mut self, key: &IdempotencyKey) {
        if let Some(in_progress) = self.keys.get_mut(key) {
            *in_progress -= 1;
            if *in_progress == 0 {
                self.keys.remove(key);
            }
        }
    }

    /// Records how long a request of a rule took from sending to answer.
    pub fn record_service_time(&mut self, rule: &RuleName, service_time: Duration) {
        let load = self.rules.entry(rule.clone()).or_default();
        load.service_time.record(service_time);
    }

    /// Returns the measured service time of a rule.
    pub fn service_time(&self, rule: &RuleName) -> ServiceTime {
        let load = self.rules.get(rule);
        load.map(|load| load.service_time).unwrap_or_default()
    }

    /// Returns when the next request becomes too late and is to be shed.
    pub fn next_shed_at(&self) -> Option<Instant> {
        self.latest_starts.first().map(|&(at, _)| at)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many callers are held in memory.
    pub fn tracked_callers(&self) -> usize {
        let waiting: usize = self.queues.iter().map(FairQueue::waiting_callers).sum();
        waiting + self.shares.len()
    }

    /// Returns every request that waits.
    pub fn into_requests(self) -> Vec<RequestId> {
        self.entries.into_keys().collect()
    }

    fn has_waiting(&self, priority: usize) -> bool {
        !self.queues[priority].is_empty()
    }

    fn priority(&self, waiting: &QueuedRequest) -> usize {
        match self.settings.priorities {
            true => priority_scheduler::priority_index(waiting.priority),
            false => 0,
        }
    }

    fn deadline_unreachable(&self, request: RequestId, wait: Duration) -> Refusal {
        refused(RefusalReason::DeadlineUnreachable, request, wait)
    }
}

/// Creates a refusal that asks the caller to retry when the queue has moved on.
///
/// The time is spread by a quarter to each side, by the request's number, so that callers who were refused together do
/// not retry together.
fn refused(reason: RefusalReason, request: RequestId, wait: Duration) -> Refusal {
    let (shortest, longest) = RETRY_AFTER_RANGE;
    let spread = (request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as f64 / 256.0;
    let after = wait.max(shortest).mul_f64(0.75 + spread / 2.0);
    Refusal::not_run(reason).retry_after(after.min(longest))
}
