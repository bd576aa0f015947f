//! How often requests may be sent to a second backend server.
//!
//! Load pattern: servers fail, every request is sent twice, and the servers that are left get twice
//! the load and fail too. All VMs together may repeat a share of the requests and a fixed allowance
//! in each window. No VM asks another: a share of the own requests adds up to the share of all, and
//! the allowance is divided by the most VMs there may be. A wrong count of VMs that is too high
//! costs repeats; one that is too low is covered by a guard.
//!
//! A VM that restarts goes on with what others kept of its account. Until it has that, and nothing is
//! known of what it used, it leaves its part of the allowance for a window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::repeat_account::{Account, AccountSnapshot, ServiceAccount, UsageReport};
use crate::utils::HashMap;
use crate::world::ids::ServiceName;

/// The part of the budget that is used: requests and repeats of one window are counted by the VM
/// and by the servers at slightly different moments.
const GUARD: f64 = 0.8;

/// How long before its start a VM must have been heard for it to be known what it did until then: it says something more
/// often, and is away for some seconds at most when it restarts.
const IN_TOUCH: Duration = Duration::from_secs(4);

/// What is heard within this time is heard at once.
const AT_ONCE: Duration = Duration::from_millis(1500);

/// The bounds on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside these, for all VMs together.
    pub allowance: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

impl RepeatBounds {
    /// Returns for how long a repeat counts: the servers may see it later than the VM.
    pub fn repeat_lifetime(&self) -> Duration {
        self.window + self.window / 10
    }
}

/// What a VM has used of its part of the budget, and how much that part is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetStatus {
    /// Repeats of the window.
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
struct Counted {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    /// What this VM did before it restarted.
    before: Option<AccountSnapshot>,
}

impl Counted {
    fn forget(&mut self, now: Instant, bounds: &RepeatBounds) {
        forget(&mut self.requests, now, bounds.window);
        forget(&mut self.repeats, now, bounds.repeat_lifetime());
    }

    fn standing(&mut self, now: Instant, bounds: &RepeatBounds, share: f64) -> BudgetStatus {
        self.forget(now, bounds);
        let before = self.before.as_ref();
        let requests = self.requests.len() + before.map_or(0, |kept| kept.requests(now, bounds));
        BudgetStatus {
            used: self.repeats.len() + before.map_or(0, |kept| kept.repeats(now, bounds)),
            allowed: GUARD * (bounds.ratio * requests as f64 + share),
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

/// The repeats of one VM.
#[derive(Debug)]
pub struct RepeatBudget {
    services: HashMap<ServiceName, Counted>,
    /// What is not known of the time before the start; none on a VM that has not run before.
    past: Option<Past>,
}

/// What a VM that may have run before knows of that.
#[derive(Clone, Copy, Debug)]
struct Past {
    begun: Instant,
    /// Until when it matters what the VM did before, which nobody has told it.
    unknown_until: Instant,
    /// When the VM had last said anything to the one by which it goes.
    heard: Option<Instant>,
}

impl Past {
    /// Returns whether what was heard so lately counts: the VM has not said it since its start, the one that heard it was
    /// in touch with it until about then, and nobody has heard it say anything later.
    fn counts(&self, heard: Instant) -> bool {
        let is_before = heard <= self.begun;
        let is_late = heard + IN_TOUCH >= self.begun;
        let is_latest = self.heard.is_none_or(|known| heard + AT_ONCE >= known);
        is_before && is_late && is_latest
    }
}

impl RepeatBudget {
    /// Begins on a VM that starts together with all others, for the first time.
    pub fn for_first_start() -> Self {
        Self {
            services: HashMap::default(),
            past: None,
        }
    }

    /// Begins on a VM that may have run before.
    pub fn after_restart(now: Instant, bounds: &RepeatBounds) -> Self {
        Self {
            past: Some(Past {
                begun: now,
                unknown_until: now + bounds.repeat_lifetime(),
                heard: None,
            }),
            ..Self::for_first_start()
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.counted(service).requests.push_back(now);
    }

    /// Returns what is used at a service of the part of one of so many VMs.
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
        self.counted(service).standing(now, bounds, share)
    }

    /// Counts a repeat, if one more is allowed; returns what was used before it.
    pub fn try_take(
        &mut self,
        now: Instant,
        service: &ServiceName,
        bounds: &RepeatBounds,
        vms: usize,
    ) -> BudgetStatus {
        let standing = self.status(now, service, bounds, vms);
        if standing.allows_repeat() {
            self.counted(service).repeats.push_back(now);
        }
        standing
    }

    /// Returns for how much longer it matters what the VM did before it started, which nobody has told it.
    pub fn unknown_for(&self, now: Instant) -> Duration {
        let until = self.past.map(|past| past.unknown_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns what others may keep for this VM: its accounts with services that it repeated requests to.
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

    /// Goes on with what another VM has kept; returns whether that is news.
    pub fn recover(&mut self, now: Instant, used: &UsageReport) -> bool {
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        let heard = ago(used.heard_ms);
        let Some(past) = self.past.as_mut().filter(|past| past.counts(heard)) else {
            return false;
        };
        let until = now + Duration::from_millis(used.unknown_ms);
        let is_later = past.heard.is_none_or(|known| heard > known + AT_ONCE);
        let mut is_news = is_later || until < past.unknown_until;
        if is_news {
            past.unknown_until = until;
            past.heard = Some(heard);
        }
        let begun = past.begun;
        for told in &used.accounts {
            let as_of = ago(told.age_ms);
            let counted = self.counted(&told.service);
            let is_newer = counted
                .before
                .as_ref()
                .is_none_or(|kept| kept.as_of < as_of);
            if is_newer && as_of <= begun {
                counted.before = Some(AccountSnapshot {
                    account: told.account.clone(),
                    as_of,
                });
                is_news = true;
            }
        }
        is_news
    }

    fn counted(&mut self, service: &ServiceName) -> &mut Counted {
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
