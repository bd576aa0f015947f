//! When a lookup is hedged: sent a second time while its first attempt is in flight.
//!
//! **Load pattern:** one backend server falls into a slow spell with calls of this VM on it. **Without it** each of
//! those calls takes the whole spell, though the other servers answer in milliseconds. **Grounds:** a hedge doubles the
//! work of its request, so it needs a reason (the backend server's latest answers were several times slower than usual,
//! or the attempt takes longer than 98 of 100 do, where the manifest asks for that) and spare capacity: nothing has
//! waited on this VM for a while, and another backend server is believed to have a free slot. Hedging every long job at
//! high load made the tail latency worse. A budget of a fiftieth of the lookups bounds what a wrong reason costs.

use std::time::Duration;

use super::service_time::ServiceTime;
use crate::settings::hedge::HedgeSettings;
use crate::utils::HashMap;
use crate::world::ids::BackendServerName;

/// Why a lookup is hedged; the reasons also label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeReason {
    /// The backend server of the first attempt is in a slow spell.
    SlowSpell,
    /// The first attempt takes longer than nearly all do.
    Late,
}

/// What became of a hedge; the outcomes also label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeStep {
    /// The hedge was sent.
    Sent(HedgeReason),
    /// The hedge's answer came first and was passed on.
    Won,
    /// The first attempt's answer came first, and the hedge was cancelled.
    Cancelled,
}

impl HedgeStep {
    /// Every step, for metrics that start at zero.
    pub const ALL: &[Self] = &[
        Self::Sent(HedgeReason::SlowSpell),
        Self::Sent(HedgeReason::Late),
        Self::Won,
        Self::Cancelled,
    ];

    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Sent(HedgeReason::SlowSpell) => "sent_slow_spell",
            Self::Sent(HedgeReason::Late) => "sent_late",
            Self::Won => "won",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The state of an attempt in flight that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct AttemptProgress {
    /// How long the attempt has been in flight.
    pub elapsed: Duration,
    /// The time left to the request's deadline.
    pub remaining: Duration,
    /// The service time of requests of its rule.
    pub service_time: ServiceTime,
    /// How long ago a request of this VM last waited for a slot, if one ever did.
    pub since_last_wait: Option<Duration>,
}

/// Whether to hedge an attempt in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// Send the request to another backend server, if one has a free slot.
    Hedge(HedgeReason),
    /// Check again after this time.
    CheckAgain(Duration),
    /// Do not hedge this attempt.
    DoNotHedge,
}

/// The weight of a new sample in the moving average of a backend server's slowness.
const SAMPLE_WEIGHT: f64 = 0.25;

/// The units of a token: whole numbers, so that hundredths of a token add up.
const UNITS_PER_TOKEN: u64 = 10_000;

/// The hedge budget and the slow servers of one service on one VM.
#[derive(Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    budget_units: u64,
    /// How many times the median service time each backend server's latest answers took.
    slowness: HashMap<BackendServerName, f64>,
}

impl Hedge {
    /// Creates the state with an empty budget.
    pub fn new(settings: &HedgeSettings) -> Self {
        Self {
            settings: settings.clone(),
            budget_units: 0,
            slowness: HashMap::default(),
        }
    }

    /// Takes new settings; drops backend servers that are gone.
    pub fn update_settings(
        &mut self,
        settings: &HedgeSettings,
        exists: impl Fn(&BackendServerName) -> bool,
    ) {
        self.settings = settings.clone();
        self.slowness.retain(|server, _| exists(server));
    }

    /// Records that a lookup was sent, which earns its share of a token. Returns after which time to check it, if it
    /// may be hedged.
    pub fn lookup_sent(&mut self, service_time: &ServiceTime) -> Option<Duration> {
        if self.settings.budget_share <= 0.0 {
            return None;
        }
        let earned = (self.settings.budget_share * UNITS_PER_TOKEN as f64) as u64;
        let most = u64::from(self.settings.budget_most) * UNITS_PER_TOKEN;
        self.budget_units = (self.budget_units + earned).min(most);
        service_time.mean()?;
        Some(service_time.p90().max(self.min_delay()))
    }

    /// Records how long a backend server took to answer.
    ///
    /// One long job counts for no more than twice the slow factor, so that it takes several slow answers to signal a
    /// slow spell.
    pub fn record_latency(
        &mut self,
        server: &BackendServerName,
        took: Duration,
        service_time: &ServiceTime,
    ) {
        let median_s = service_time.median().as_secs_f64();
        if median_s <= 0.0 {
            return;
        }
        let sample = (took.as_secs_f64() / median_s).min(2.0 * self.settings.slow_factor);
        let slowness = self.slowness.entry(server.clone()).or_insert(1.0);
        *slowness += (sample - *slowness) * SAMPLE_WEIGHT;
    }

    /// Decides whether to hedge an attempt that is in flight for longer than most.
    pub fn decide(&self, server: &BackendServerName, progress: &AttemptProgress) -> HedgeDecision {
        let too_late = progress.remaining < progress.service_time.median();
        let min_calm = Duration::from_millis(self.settings.calm_ms);
        let waited = progress
            .since_last_wait
            .is_some_and(|calm_for| calm_for < min_calm);
        if waited || too_late || self.budget_units < UNITS_PER_TOKEN {
            return HedgeDecision::DoNotHedge;
        }
        if self.in_slow_spell(server) {
            return HedgeDecision::Hedge(HedgeReason::SlowSpell);
        }
        let late = progress.service_time.p98().max(self.min_delay());
        match late.checked_sub(progress.elapsed) {
            None | Some(Duration::ZERO) if !self.settings.late => HedgeDecision::DoNotHedge,
            None | Some(Duration::ZERO) => HedgeDecision::Hedge(HedgeReason::Late),
            Some(more) => HedgeDecision::CheckAgain(more),
        }
    }

    /// Takes the token of a hedge that was sent.
    pub fn spend_token(&mut self) {
        self.budget_units = self.budget_units.saturating_sub(UNITS_PER_TOKEN);
    }

    /// Returns whether a backend server's latest answers were several times slower than usual.
    pub fn in_slow_spell(&self, server: &BackendServerName) -> bool {
        let slowness = self.slowness.get(server).copied();
        slowness.is_some_and(|slowness| slowness >= self.settings.slow_factor)
    }

    fn min_delay(&self) -> Duration {
        Duration::from_millis(self.settings.after_ms)
    }
}
