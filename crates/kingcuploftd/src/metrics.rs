//! The daemon's metrics: counters, gauges and histograms in Prometheus' text format.

use std::time::Duration;

use kingcuploft::decisions::retry::RetryReason;
use kingcuploft::world::ids::ServiceName;
use kingcuploft::world::refusal::RefusalReason;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::claims::metrics::ClaimMetrics;
use crate::metrics_fleet::FleetMetrics;
use crate::metrics_service::ServiceMetrics;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabel {
    service: String,
}

/// The daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    latency: Family<ServiceLabel, Histogram>,
    /// The metrics of claims.
    pub claims: ClaimMetrics,
    /// The active generation.
    pub generation: Gauge,
    /// Callers' connections that were closed at the stop timeout.
    pub cut_by_stop: Counter,
    /// Queues, limits, hedges and refusals by service.
    pub service: ServiceMetrics,
    /// The manifest, peers and fleet.
    pub fleet: FleetMetrics,
    /// Probes of backend servers.
    pub probes: Counter,
    /// Probes that were dropped because the prober's channel was full.
    pub probes_dropped: Counter,
    /// Connections opened to backend servers.
    pub backend_connections_opened: Counter,
    /// Calls that failed because this VM's share of a backend server's connections was in use.
    pub backend_connection_limit: Counter,
    /// Streamed answers that did not reach their caller completely.
    pub streams_cut: Counter,
    /// Callers' connections refused at the connection limit.
    pub connections_refused: Counter,
    /// Callers' connections closed because their headers came too slowly.
    pub slow_callers: Counter,
    /// Errors of the system while accepting connections.
    pub accept_errors: Counter,
}

/// Upper bounds of the latency histogram, in s.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("kingcuploft");
        let refusals = Family::<ReasonLabel, Counter>::default();
        let retries = Family::<ReasonLabel, Counter>::default();
        let latency = Family::<ServiceLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BOUNDS_S)
        });
        let generation = Gauge::default();
        for reason in RefusalReason::ALL {
            let reason = reason.label();
            drop(refusals.get_or_create(&ReasonLabel { reason }));
        }
        for reason in RetryReason::ALL {
            let reason = reason.label();
            drop(retries.get_or_create(&ReasonLabel { reason }));
        }
        registry.register("refusals", "Requests refused, by reason", refusals.clone());
        registry.register("retries", "Requests sent again, by reason", retries.clone());
        registry.register("latency_seconds", "Arrival to answer", latency.clone());
        registry.register("manifest_generation", "In force", generation.clone());
        let cut_by_stop = counter(
            &mut registry,
            "connections_cut_by_stop",
            "Callers' connections cut at the bound of a planned stop",
        );
        let fleet = FleetMetrics::register(&mut registry);
        let probes = counter(&mut registry, "probes", "Probes of backend servers");
        let probes_dropped = counter(
            &mut registry,
            "probes_dropped",
            "Probes that the measuring duty had no room for",
        );
        let backend_connections_opened = counter(
            &mut registry,
            "backend_connections_opened",
            "Connections opened to backend servers",
        );
        let backend_connection_limit = counter(
            &mut registry,
            "backend_connection_limit",
            "Calls that found the share of a backend server's connections in use",
        );
        let streams_cut = counter(
            &mut registry,
            "streams_cut",
            "Streamed answers that did not reach their caller whole",
        );
        let connections_refused = counter(
            &mut registry,
            "connections_refused",
            "Callers' connections refused at the limit",
        );
        let slow_callers = counter(
            &mut registry,
            "slow_callers",
            "Callers' connections closed because their headers came too slowly",
        );
        let accept_errors = counter(
            &mut registry,
            "accept_errors",
            "Connections that the system could not give",
        );
        let claims = ClaimMetrics::register(&mut registry);
        let service = ServiceMetrics::register(&mut registry);
        Self {
            claims,
            service,
            registry,
            fleet,
            refusals,
            retries,
            latency,
            generation,
            probes,
            probes_dropped,
            cut_by_stop,
            backend_connections_opened,
            backend_connection_limit,
            streams_cut,
            connections_refused,
            slow_callers,
            accept_errors,
        }
    }
}

impl Metrics {
    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        let reason = reason.label();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Returns the number of refusals for a reason.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        let reason = reason.label();
        self.refusals.get_or_create(&ReasonLabel { reason }).get()
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        let reason = reason.label();
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the time from a request's arrival to its answer.
    pub fn record_latency(&self, service: &ServiceName, latency: Duration) {
        let service = service.to_string();
        let histogram = self.latency.get_or_create(&ServiceLabel { service });
        histogram.observe(latency.as_secs_f64());
    }

    /// Returns the metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# The metrics could not be written: {error}.\n"),
        }
    }
}

/// Registers a counter that starts at zero.
fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}
