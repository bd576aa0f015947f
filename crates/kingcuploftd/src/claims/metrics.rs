//! The metrics of claims: verdicts, events, store calls, the group size and the claims held.

use kingcuploft::decisions::claim::message::{ClaimEvent, Verdict};
use kingcuploft_platform::StoreError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabel {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct VerdictLabel {
    verdict: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabel {
    kind: &'static str,
    result: &'static str,
}

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Get,
    Put,
    Delete,
}

impl CallKind {
    fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
        }
    }
}

/// The metrics of claims.
#[derive(Debug)]
pub struct ClaimMetrics {
    verdicts: Family<VerdictLabel, Counter>,
    events: Family<EventLabel, Counter>,
    calls: Family<CallLabel, Counter>,
    group_size: Histogram,
    /// The number of claims held.
    pub held: Gauge,
}

/// Bucket bounds of the number of claims and outcomes that share one write.
const GROUP_BOUNDS: [f64; 9] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

impl ClaimMetrics {
    /// Registers the metrics of claims.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            verdicts: Family::default(),
            events: Family::default(),
            calls: Family::default(),
            group_size: Histogram::new(GROUP_BOUNDS),
            held: Gauge::default(),
        };
        let verdicts = metrics.verdicts.clone();
        registry.register("claims", "Claims decided, by verdict", verdicts);
        let events = metrics.events.clone();
        registry.register("claim_events", "What happened to claims, by event", events);
        let calls = metrics.calls.clone();
        registry.register("claim_store_calls", "Calls to the store for claims", calls);
        let group_size = metrics.group_size.clone();
        registry.register("claim_group_size", "Claims and ends per write", group_size);
        let held = metrics.held.clone();
        registry.register("claims_held", "Claims held now", held);
        metrics
    }

    /// Counts a verdict.
    pub(super) fn count_verdict(&self, verdict: &Verdict) {
        let verdict = match verdict {
            Verdict::Held => "held",
            Verdict::Replay(_) => "replayed",
            Verdict::AlreadyRan => "already_ran",
            Verdict::InProgress => "in_progress",
            Verdict::EndUnknown => "end_unknown",
            Verdict::Reused => "reused",
            Verdict::Unavailable { .. } => "store_unavailable",
            Verdict::Full => "full",
        };
        self.verdicts.get_or_create(&VerdictLabel { verdict }).inc();
    }

    /// Counts an event.
    pub(super) fn count_event(&self, counted: ClaimEvent) {
        let event = match counted {
            ClaimEvent::Group(size) => return self.group_size.observe(size as f64),
            ClaimEvent::Conflict => "conflict",
            ClaimEvent::ReadBack => "read_back",
            ClaimEvent::StaleRead => "stale_read",
            ClaimEvent::Released => "released",
            ClaimEvent::Acknowledged => "acknowledged",
            ClaimEvent::Abandoned => "abandoned",
            ClaimEvent::Sealed => "sealed",
        };
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    /// Counts a call to the store.
    pub(super) fn count_call(&self, kind: CallKind, error: Option<&StoreError>) {
        let label = CallLabel {
            kind: kind.label(),
            result: error.map_or("done", StoreError::label),
        };
        self.calls.get_or_create(&label).inc();
    }
}
