//! When a lookup is sent a second time while its first attempt is in flight.
//!
//! **Load pattern:** one backend server falls into a slow spell with calls of this VM on it.
//! **Without it** each of those calls takes the whole spell, though the others answer in
//! milliseconds. **Grounds:** a hedge doubles the work of its request, so it needs a reason (the
//! backend server's latest answers were several times slower than usual, or the attempt takes
//! longer than 98 of 100 do, where the manifest asks for that) and room: nothing has waited on this VM for a while, and another
//! backend server is believed to have a free slot. Hedging every long job at high load made the tail worse in the
//! first estimates. A budget of a fiftieth of the lookups bounds what a wrong reason costs.

use std::time::Duration;

use super::service_time::ServiceTime;
use crate::settings::hedge::HedgeSettings;
use crate::utils::HashMap;
use crate::world::ids::BackendServerName;

/// Why a lookup is hedged; the same words label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeReason {
    /// The backend server of the first attempt is in a slow spell.
    SlowSpell,
    /// The first attempt takes longer than nearly all do.
    Late,
}

/// What became of a hedge; the same words label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeStep {
    /// It was sent.
    Sent(HedgeReason),
    /// Its answer came first and was passed on.
    Won,
    /// The first attempt's answer came first, and it was cancelled.
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

    /// Returns the word that stands in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Sent(HedgeReason::SlowSpell) => "sent_slow_spell",
            Self::Sent(HedgeReason::Late) => "sent_late",
            Self::Won => "won",
            Self::Cancelled => "cancelled",
        }
    }
}

/// What is known when an attempt is looked at.
#[derive(Clone, Copy, Debug)]
pub struct AttemptProgress {
    /// How long the attempt has been in flight.
    pub elapsed: Duration,
    /// Time to the request's deadline.
    pub remaining: Duration,
    /// How long requests of its rule take.
    pub service_time: ServiceTime,
    /// How long ago a request of this VM last waited for a slot, if one ever did.
    pub since_last_wait: Option<Duration>,
}

/// What to do with an attempt that was looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// Send the request to another backend server, if one has room.
    Hedge(HedgeReason),
    /// Look again after this time.
    CheckAgain(Duration),
    /// Leave it alone.
    DoNotHedge,
}

/// The weight of one new sample of a backend server's slowness.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Parts of a token; whole numbers, so that hundredths add up.
const TOKEN: u64 = 10_000;

/// The hedges of one service on one VM.
#[derive(Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    budget: u64,
    /// How many times the usual time each backend server's latest answers took.
    slowness: HashMap<BackendServerName, f64>,
}

impl Hedge {
    /// Builds an empty budget.
    pub fn new(settings: &HedgeSettings) -> Self {
        Self {
            settings: settings.clone(),
            budget: 0,
            slowness: HashMap::default(),
        }
    }

    /// Goes on under new settings; forgets backend servers that are gone.
    pub fn update_settings(
        &mut self,
        settings: &HedgeSettings,
        kept: impl Fn(&BackendServerName) -> bool,
    ) {
        self.settings = settings.clone();
        self.slowness.retain(|server, _| kept(server));
    }

    /// Notes that a lookup was sent, and returns after which time to look at it.
    pub fn lookup_sent(&mut self, usual: &ServiceTime) -> Option<Duration> {
        if self.settings.budget_share <= 0.0 {
            return None;
        }
        let earned = (self.settings.budget_share * TOKEN as f64) as u64;
        let most = u64::from(self.settings.budget_most) * TOKEN;
        self.budget = (self.budget + earned).min(most);
        usual.mean()?;
        Some(usual.p90().max(self.shortest()))
    }

    /// Takes in how long a backend server took to answer.
    ///
    /// One long job counts for no more than twice what a slow spell does, so that it takes
    /// several slow answers to tell of a spell.
    pub fn record_latency(
        &mut self,
        server: &BackendServerName,
        took: Duration,
        usual: &ServiceTime,
    ) {
        let median_s = usual.median().as_secs_f64();
        if median_s <= 0.0 {
            return;
        }
        let sample = (took.as_secs_f64() / median_s).min(2.0 * self.settings.slow_factor);
        let slowness = self.slowness.entry(server.clone()).or_insert(1.0);
        *slowness += (sample - *slowness) * SAMPLE_WEIGHT;
    }

    /// Judges an attempt that is in flight for longer than most.
    pub fn decide(&self, server: &BackendServerName, look: &AttemptProgress) -> HedgeDecision {
        let hopeless = look.remaining < look.service_time.median();
        let calm = Duration::from_millis(self.settings.calm_ms);
        let waited = look.since_last_wait.is_some_and(|calm_for| calm_for < calm);
        if waited || hopeless || self.budget < TOKEN {
            return HedgeDecision::DoNotHedge;
        }
        if self.in_slow_spell(server) {
            return HedgeDecision::Hedge(HedgeReason::SlowSpell);
        }
        let late = look.service_time.p98().max(self.shortest());
        match late.checked_sub(look.elapsed) {
            None | Some(Duration::ZERO) if !self.settings.late => HedgeDecision::DoNotHedge,
            None | Some(Duration::ZERO) => HedgeDecision::Hedge(HedgeReason::Late),
            Some(more) => HedgeDecision::CheckAgain(more),
        }
    }

    /// Notes that a hedge was sent.
    pub fn spend_token(&mut self) {
        self.budget = self.budget.saturating_sub(TOKEN);
    }

    /// Tells whether a backend server's latest answers were several times slower than usual.
    pub fn in_slow_spell(&self, server: &BackendServerName) -> bool {
        let slowness = self.slowness.get(server).copied();
        slowness.is_some_and(|slowness| slowness >= self.settings.slow_factor)
    }

    fn shortest(&self) -> Duration {
        Duration::from_millis(self.settings.after_ms)
    }
}
