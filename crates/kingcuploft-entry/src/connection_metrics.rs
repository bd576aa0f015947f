//! The metrics of connections and of the descriptors that they hold.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::context::Context;

/// The metrics of connections.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMetrics {
    max_descriptors: Gauge,
    idle_callers: Gauge,
    server_connections: Gauge,
    idle_server_connections: Gauge,
    callers_closed: Gauge,
    server_connections_closed: Gauge,
}

impl ConnectionMetrics {
    /// Adds the metrics to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Descriptors that connections may hold before idle ones give way";
        registry.register("connections_bound", help, self.max_descriptors.clone());
        let help = "Connections of callers that have been idle long enough to give way";
        registry.register("idle_callers", help, self.idle_callers.clone());
        let help = "Open connections to servers";
        registry.register("server_connections", help, self.server_connections.clone());
        let help = "Open connections to servers that are idle";
        let idle = self.idle_server_connections.clone();
        registry.register("idle_server_connections", help, idle);
        let help = "Idle connections of callers that were closed, as descriptors are short";
        registry.register("callers_closed", help, self.callers_closed.clone());
        let help = "Idle connections to servers that were closed, as descriptors are short";
        let closed = self.server_connections_closed.clone();
        registry.register("server_connections_closed", help, closed);
    }

    /// Updates the values.
    pub(crate) fn update(&self, context: &Context) {
        let limit = &context.caller_limit;
        let held = context.descriptor_use();
        self.max_descriptors.set(limit.max_used() as i64);
        self.idle_callers.set(held.idle_callers as i64);
        self.server_connections.set(held.server_connections as i64);
        let idle = held.idle_server_connections;
        self.idle_server_connections.set(idle as i64);
        self.callers_closed
            .set(context.idle_callers.gave_way() as i64);
        self.server_connections_closed
            .set(limit.server_connections_closed() as i64);
    }
}
