//! The metrics of each service: its queue, concurrency limit, hedges, retry budget and refusals.

use std::time::Duration;

use kingcuploft::decisions::hedge::HedgeStep;
use kingcuploft::dispatcher::explain::LoadSnapshot;
use kingcuploft::world::ids::ServiceName;
use kingcuploft::world::refusal::RefusalReason;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabel {
    service: String,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct HedgeLabel {
    service: String,
    step: &'static str,
}

/// Upper bounds of the histogram of waits, in s.
const WAIT_BOUNDS_S: [f64; 10] = [0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// The metrics of each service.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    refusals: Family<RefusalLabel, Counter>,
    hedges: Family<HedgeLabel, Counter>,
    wait: Family<ServiceLabel, Histogram>,
    queue_length: Family<ServiceLabel, Gauge>,
    in_flight: Family<ServiceLabel, Gauge>,
    limit: Family<ServiceLabel, Gauge>,
    retry_budget: Family<ServiceLabel, Gauge>,
}

impl ServiceMetrics {
    /// Builds the metrics and adds them to a registry.
    pub fn register(registry: &mut Registry) -> Self {
        let constructor: fn() -> Histogram = || Histogram::new(WAIT_BOUNDS_S);
        let metrics = Self {
            refusals: Family::default(),
            hedges: Family::default(),
            wait: Family::new_with_constructor(constructor),
            queue_length: Family::default(),
            in_flight: Family::default(),
            limit: Family::default(),
            retry_budget: Family::default(),
        };
        let m = metrics.clone();
        registry.register("service_refusals", "Refused, by service", m.refusals);
        registry.register("hedges", "Second attempts in flight", m.hedges);
        registry.register("queue_wait_seconds", "Arrival to call", m.wait);
        registry.register("queue_length", "Requests that wait", m.queue_length);
        registry.register("calls_in_flight", "Calls that have not ended", m.in_flight);
        registry.register("calls_limit", "Calls that may be in flight", m.limit);
        registry.register("retry_budget", "Retries allowed now", m.retry_budget);
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, service: &ServiceName, reason: RefusalReason) {
        let label = RefusalLabel {
            service: service.to_string(),
            reason: reason.label(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a step of a hedge.
    pub fn count_hedge(&self, service: &ServiceName, step: HedgeStep) {
        let label = HedgeLabel {
            service: service.to_string(),
            step: step.label(),
        };
        self.hedges.get_or_create(&label).inc();
    }

    /// Records the time from a request's arrival to the start of a call.
    pub fn record_wait(&self, service: &ServiceName, wait: Duration) {
        let histogram = self.wait.get_or_create(&service_label(service));
        histogram.observe(wait.as_secs_f64());
    }

    /// Returns a service's queue length, calls in flight and concurrency limit, as they were last set.
    pub fn load(&self, service: &ServiceName) -> [i64; 3] {
        let gauges = [&self.queue_length, &self.in_flight, &self.limit];
        gauges.map(|gauges| gauges.get_or_create(&service_label(service)).get())
    }

    /// Sets the load gauges of a service.
    pub fn set_load(&self, service: &ServiceName, load: &LoadSnapshot) {
        let label = service_label(service);
        let show = |gauges: &Family<ServiceLabel, Gauge>, value: u64| {
            gauges.get_or_create(&label).set(value as i64);
        };
        show(&self.queue_length, load.waiting as u64);
        show(&self.in_flight, load.in_flight as u64);
        show(&self.limit, load.limit as u64);
        show(&self.retry_budget, load.retry_budget);
    }
}

fn service_label(service: &ServiceName) -> ServiceLabel {
    ServiceLabel {
        service: service.to_string(),
    }
}
