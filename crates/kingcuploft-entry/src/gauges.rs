//! Gauges whose values are computed when the metrics are read.

use crate::context::Context;

impl Context {
    /// Updates the gauges and returns all metrics in the text format of Prometheus.
    pub fn metrics_text(&self) -> String {
        let version = self.configuration().map_or(0, |c| c.version);
        self.metrics.configuration.set(version as i64);
        let servers = self.with_servers(|servers| servers.in_use_count());
        self.metrics.servers.set(servers as i64);
        let vms = self.vm_count.get().counted();
        self.metrics.vms.set(vms.unwrap_or(0) as i64);
        self.metrics
            .callers
            .set(self.caller_connections.get() as i64);
        let refused = self.caller_limit.refused();
        self.metrics.refused_callers.set(refused as i64);
        let missing = self.start.borrow().missing_port_count();
        self.metrics.missing_ports.set(missing as i64);
        let incomplete = self.incomplete_collections().len();
        self.metrics.incomplete_collections.set(incomplete as i64);
        let probes_left = (self.probe_budget_left() * 1000.0) as i64;
        self.metrics.probes_left.set(probes_left);
        let answer_memory = self.answer_memory.reserved_bytes();
        self.metrics.answer_memory.set(answer_memory as i64);
        let quarantined = self.quarantine.borrow().refused();
        self.metrics.quarantined.set(quarantined as i64);
        let unknown_ms = self.repeats_unknown_for().as_millis() as i64;
        self.metrics.repeats_unknown_ms.set(unknown_ms);
        let limited = self.limits.borrow().len();
        self.metrics.limited_servers.set(limited as i64);
        let cold = self.limits.borrow().cold_count();
        self.metrics.cold_servers.set(cold as i64);
        let paused = self.pauses.borrow().len();
        self.metrics.paused_servers.set(paused as i64);
        let lost = self.reach.out_of_reach_count();
        self.metrics.services_out_of_reach.set(lost as i64);
        let configuration = self.configuration();
        let workspaces = configuration.as_ref().and_then(|c| c.workspaces.as_ref());
        let known = workspaces.map_or(0, |workspaces| workspaces.len());
        self.metrics.known_workspaces.set(known as i64);
        let keys = workspaces.map_or(0, |workspaces| workspaces.key_count());
        self.metrics.known_keys.set(keys as i64);
        let depositors = self.quotas.depositor_count();
        self.metrics.quota_depositors.set(depositors as i64);
        let evacuated = self.evacuations.borrow().zones().len();
        self.metrics.evacuated_zones.set(evacuated as i64);
        let newest = self.active_configuration.newest().unwrap_or(version);
        self.metrics.configuration_newest.set(newest as i64);
        let age = self.active_configuration.age().as_secs();
        self.metrics.configuration_age.set(age as i64);
        self.metrics.followers.set(self.followers.len() as i64);
        let waiting = self.followers.max_queued_bytes();
        self.metrics.most_waiting_bytes.set(waiting as i64);
        self.metrics
            .log_lines_left_out
            .set(crate::logs::dropped_lines() as i64);
        self.metrics.connections.update(self);
        self.metrics.to_text()
    }
}
