//! The budget of repeats: how often requests may be sent to a second backend server.
//!
//! Load pattern: servers fail, every request is sent twice, and the remaining servers get twice the load and fail too.
//! All VMs together may repeat a share of the requests plus a fixed allowance in each window. VMs don't coordinate: the
//! shares of each VM's own requests add up to the share of all, and the allowance is divided by the number of VMs. Too
//! high a VM count costs repeats; too low a count is covered by a safety factor.
//!
//! A VM that restarts continues from the replicas of its account on other VMs. Until it has one, and while it is
//! unknown what it used before, it leaves its share of the allowance unused for one window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::repeat_account::{Account, AccountSnapshot, ServiceAccount, UsageReport};
use crate::utils::HashMap;
use crate::world::ids::ServiceName;

/// Fraction of the budget that is used: the VM and the servers count the requests and repeats of one window at slightly
/// different moments.
const SAFETY_FACTOR: f64 = 0.8;

/// Maximum time between a VM's last message to a replica and its start for that replica to be complete: a VM sends
/// something more often, and is away for some seconds at most when it restarts.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(4);

/// Messages received within this time count as received at the same time.
const SAME_TIME_TOLERANCE: Duration = Duration::from_millis(1500);

/// The bounds on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBounds {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Additional repeats allowed per window, for all VMs together.
    pub allowance: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

impl RepeatBounds {
    /// Returns for how long a repeat counts: longer than the window, as the servers may see it later than the VM.
    pub fn repeat_lifetime(&self) -> Duration {
        self.window + self.window / 10
    }
}

/// A VM's use of its share of the budget, and the size of that share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetStatus {
    /// Repeats in the window.
    pub used: usize,
    /// Repeats allowed in the window.
    pub allowed: f64,
}

impl BudgetStatus {
    /// Returns whether one more repeat is allowed.
    pub fn allows_repeat(&self) -> bool {
        self.used as f64 + 1.0 <= self.allowed
    }
}

/// The requests for one service and their repeats, on one VM.
#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    /// What this VM did before it restarted.
    before: Option<AccountSnapshot>,
}

impl ServiceCounts {
    fn forget(&mut self, now: Instant, bounds: &RepeatBounds) {
        forget(&mut self.requests, now, bounds.window);
        forget(&mut self.repeats, now, bounds.repeat_lifetime());
    }

    fn status(&mut self, now: Instant, bounds: &RepeatBounds, share: f64) -> BudgetStatus {
        self.forget(now, bounds);
        let before = self.before.as_ref();
        let requests =
            self.requests.len() + before.map_or(0, |snapshot| snapshot.requests(now, bounds));
        BudgetStatus {
            used: self.repeats.len() + before.map_or(0, |snapshot| snapshot.repeats(now, bounds)),
            allowed: SAFETY_FACTOR * (bounds.ratio * requests as f64 + share),
        }
    }

    fn account(&mut self, now: Instant, bounds: &RepeatBounds) -> Account {
        self.forget(now, bounds);
        let mut account = Account::default();
        let age = |at: &Instant| now.saturating_duration_since(*at);
        for at in &self.requests {
            account.add_requests(age(at), bounds, 1);
        }
        for at in &self.repeats {
            account.add_repeats(age(at), bounds, 1);
        }
        if let Some(before) = &self.before {
            account.add(before, now, bounds);
        }
        account
    }
}

/// The repeat budget of one VM.
#[derive(Debug)]
pub struct RepeatBudget {
    services: HashMap<ServiceName, ServiceCounts>,
    /// What is unknown of the time before the start; none on a VM that has not run before.
    prior_run: Option<PriorRun>,
}

/// What a VM that may have run before knows of its earlier run.
#[derive(Clone, Copy, Debug)]
struct PriorRun {
    started_at: Instant,
    /// Until when repeats from before the start count, of which no replica has reported yet.
    unknown_until: Instant,
    /// When the replica whose report is used had last received anything from the VM.
    heard_at: Option<Instant>,
}

impl PriorRun {
    /// Returns whether a report is valid of a replica that last received a message from this VM at `heard_at`: the VM
    /// has not sent that message since its start, the replica was in contact with it until shortly before the start,
    /// and no other replica received a later message.
    fn is_valid(&self, heard_at: Instant) -> bool {
        let is_before = heard_at <= self.started_at;
        let is_late = heard_at + MAX_CONTACT_GAP >= self.started_at;
        let is_latest = self
            .heard_at
            .is_none_or(|known| heard_at + SAME_TIME_TOLERANCE >= known);
        is_before && is_late && is_latest
    }
}

impl RepeatBudget {
    /// Creates the budget of a VM that starts together with all others, for the first time.
    pub fn for_first_start() -> Self {
        Self {
            services: HashMap::default(),
            prior_run: None,
        }
    }

    /// Creates the budget of a VM that may have run before.
    pub fn after_restart(now: Instant, bounds: &RepeatBounds) -> Self {
        Self {
            prior_run: Some(PriorRun {
                started_at: now,
                unknown_until: now + bounds.repeat_lifetime(),
                heard_at: None,
            }),
            ..Self::for_first_start()
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.counted(service).requests.push_back(now);
    }

    /// Returns the use of the budget for a service, as one of `vms` VMs.
    pub fn status(
        &mut self,
        now: Instant,
        service: &ServiceName,
        bounds: &RepeatBounds,
        vms: usize,
    ) -> BudgetStatus {
        let share = match self.unknown_for(now).is_zero() {
            true => bounds.allowance / vms.max(1) as f64,
            false => 0.0,
        };
        self.counted(service).status(now, bounds, share)
    }

    /// Counts a repeat if one more is allowed; returns the use of the budget before it.
    pub fn try_take(
        &mut self,
        now: Instant,
        service: &ServiceName,
        bounds: &RepeatBounds,
        vms: usize,
    ) -> BudgetStatus {
        let status = self.status(now, service, bounds, vms);
        if status.allows_repeat() {
            self.counted(service).repeats.push_back(now);
        }
        status
    }

    /// Returns for how much longer repeats from before the start count, of which no replica has reported yet.
    pub fn unknown_for(&self, now: Instant) -> Duration {
        let until = self.prior_run.map(|prior_run| prior_run.unknown_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the report for the replicas: the accounts of the services to which this VM repeated requests.
    pub fn report(&mut self, now: Instant, bounds: &RepeatBounds) -> UsageReport {
        let unknown_ms = self.unknown_for(now).as_millis() as u64;
        let accounts = self.services.iter_mut();
        let accounts = accounts.map(|(service, counted)| ServiceAccount {
            service: service.clone(),
            age_ms: 0,
            account: counted.account(now, bounds),
        });
        UsageReport {
            unknown_ms,
            heard_ms: 0,
            accounts: accounts.filter(|of| of.account.has_repeats()).collect(),
        }
    }

    /// Continues from another VM's replica; returns whether it contained news.
    pub fn recover(&mut self, now: Instant, used: &UsageReport) -> bool {
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        let heard_at = ago(used.heard_ms);
        let Some(prior_run) = self
            .prior_run
            .as_mut()
            .filter(|prior_run| prior_run.is_valid(heard_at))
        else {
            return false;
        };
        let until = now + Duration::from_millis(used.unknown_ms);
        let is_later = prior_run
            .heard_at
            .is_none_or(|known| heard_at > known + SAME_TIME_TOLERANCE);
        let mut is_news = is_later || until < prior_run.unknown_until;
        if is_news {
            prior_run.unknown_until = until;
            prior_run.heard_at = Some(heard_at);
        }
        let started_at = prior_run.started_at;
        for reported in &used.accounts {
            let as_of = ago(reported.age_ms);
            let counted = self.counted(&reported.service);
            let is_newer = counted
                .before
                .as_ref()
                .is_none_or(|snapshot| snapshot.as_of < as_of);
            if is_newer && as_of <= started_at {
                counted.before = Some(AccountSnapshot {
                    account: reported.account.clone(),
                    as_of,
                });
                is_news = true;
            }
        }
        is_news
    }

    fn counted(&mut self, service: &ServiceName) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while let Some(&first) = times.front() {
        if now.saturating_duration_since(first) <= window {
            return;
        }
        times.pop_front();
    }
}
