//! The VM's metrics, in the text format of Prometheus. The number of label sets does not grow with the number of
//! servers.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::connection_metrics::ConnectionMetrics;
use crate::label_names::{LabelNames, OTHER_NAMES};

/// Upper bounds of the latency histogram, in seconds: from an immediate refusal to the longest route.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// The label set of counters that are split by reason.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

/// The label set of the latency histogram.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Answered {
    route: String,
    outcome: &'static str,
}

/// The label set of the checks of the store's watches.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WatchCheck {
    collection: &'static str,
    outcome: &'static str,
}

/// The label set of the requests of a workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WorkspaceOutcome {
    workspace: String,
    outcome: &'static str,
}

/// All metrics of the VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    attempts: Family<Reason, Counter>,
    repeats: Family<Reason, Counter>,
    failures: Family<Reason, Counter>,
    probes: Family<Reason, Counter>,
    readers: Family<Reason, Counter>,
    watch_checks: Family<WatchCheck, Counter>,
    relays: Family<Reason, Counter>,
    answers_given_up: Family<Reason, Counter>,
    duties_failed: Family<Reason, Counter>,
    answers: Family<Answered, Histogram>,
    routes: LabelNames,
    workspace_requests: Family<WorkspaceOutcome, Counter>,
    workspaces: LabelNames,
    pub(crate) connections: ConnectionMetrics,
    /// Requests that were given back to a quota, as they had not run.
    pub quota_given_back: Counter,
    /// Workspaces of the configuration in force.
    pub known_workspaces: Gauge,
    /// Keys of the configuration in force.
    pub known_keys: Gauge,
    /// VMs that entrust their shares of quotas to this one.
    pub quota_depositors: Gauge,
    /// Requests that were read.
    pub requests: Counter,
    /// Requests that another VM has passed to this one.
    pub relayed_requests: Counter,
    /// Bytes that answers of servers take in memory.
    pub answer_memory: Gauge,
    /// Services whose servers are out of this VM's reach.
    pub services_out_of_reach: Gauge,
    /// Store entries that could not be read.
    pub unreadable_entries: Counter,
    /// The version of the configuration in force.
    pub configuration: Gauge,
    /// The newest version of the configuration that is known to exist.
    pub configuration_newest: Gauge,
    /// The most bytes that wait to be written to one follower.
    pub most_waiting_bytes: Gauge,
    /// Backend servers that may get work.
    pub servers: Gauge,
    /// VMs that share the budgets of probes and repeats.
    pub vms: Gauge,
    /// Open connections of callers.
    pub callers: Gauge,
    /// The fill of the probe budget, in thousandths.
    pub probes_left: Gauge,
    /// Ports that could not be opened yet.
    pub missing_ports: Gauge,
    /// Collections of the store of which entries may be missing.
    pub incomplete_collections: Gauge,
    /// Connections of callers that were refused, as descriptors are short.
    pub refused_callers: Gauge,
    /// Seconds since the configuration in force was adopted.
    pub configuration_age: Gauge,
    /// VMs that follow this one.
    pub followers: Gauge,
    /// Servers that announce a rate limit.
    pub limited_servers: Gauge,
    /// Servers that are cold and limited to the rate that they bear.
    pub cold_servers: Gauge,
    /// Servers that want nothing from this VM for a while.
    pub paused_servers: Gauge,
    /// Availability zones that are evacuated.
    pub evacuated_zones: Gauge,
    /// Milliseconds for which the VM still leaves its share of the repeat allowance unused, as its earlier usage is
    /// unknown.
    pub repeats_unknown_ms: Gauge,
    /// Requests that are refused since servers crashed when they ran them.
    pub quarantined: Gauge,
    /// Log lines about successful requests that were left out beyond the log budget.
    pub ordinary_lines_left_out: Counter,
    /// Log lines that were dropped since the writer was behind.
    pub log_lines_left_out: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("kingcuploft_entry"),
            attempts: Family::default(),
            repeats: Family::default(),
            failures: Family::default(),
            probes: Family::default(),
            readers: Family::default(),
            watch_checks: Family::default(),
            relays: Family::default(),
            answers_given_up: Family::default(),
            duties_failed: Family::default(),
            answers: Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S)),
            routes: LabelNames::default(),
            workspace_requests: Family::default(),
            workspaces: LabelNames::default(),
            connections: ConnectionMetrics::default(),
            quota_given_back: Counter::default(),
            known_workspaces: Gauge::default(),
            known_keys: Gauge::default(),
            quota_depositors: Gauge::default(),
            requests: Counter::default(),
            relayed_requests: Counter::default(),
            answer_memory: Gauge::default(),
            services_out_of_reach: Gauge::default(),
            unreadable_entries: Counter::default(),
            configuration: Gauge::default(),
            configuration_newest: Gauge::default(),
            most_waiting_bytes: Gauge::default(),
            servers: Gauge::default(),
            vms: Gauge::default(),
            callers: Gauge::default(),
            probes_left: Gauge::default(),
            missing_ports: Gauge::default(),
            incomplete_collections: Gauge::default(),
            refused_callers: Gauge::default(),
            configuration_age: Gauge::default(),
            followers: Gauge::default(),
            limited_servers: Gauge::default(),
            cold_servers: Gauge::default(),
            paused_servers: Gauge::default(),
            evacuated_zones: Gauge::default(),
            repeats_unknown_ms: Gauge::default(),
            quarantined: Gauge::default(),
            ordinary_lines_left_out: Counter::default(),
            log_lines_left_out: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        self.connections.register(registry);
        registry.register(
            "attempts",
            "Attempts by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "repeats",
            "Repeated attempts by what failed",
            self.repeats.clone(),
        );
        registry.register("failures", "Own failures by reason", self.failures.clone());
        registry.register("probes", "Probes by how they ended", self.probes.clone());
        registry.register(
            "readers_lost",
            "Links to a reader by why they ended",
            self.readers.clone(),
        );
        registry.register(
            "watch_checks",
            "Checks whether a watch of the store is behind, by collection and outcome",
            self.watch_checks.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to an answer, by route and outcome",
            self.answers.clone(),
        );
        registry.register("requests", "Requests that were read", self.requests.clone());
        registry.register(
            "relays",
            "Requests passed to another VM by how they ended",
            self.relays.clone(),
        );
        let help = "Answers of servers that were given up by why";
        registry.register("answers_given_up", help, self.answers_given_up.clone());
        let help = "Panics of long-lived tasks, which were begun anew";
        registry.register("duties_failed", help, self.duties_failed.clone());
        let help = "Bytes that answers of servers take in memory";
        registry.register("answer_memory_bytes", help, self.answer_memory.clone());
        let help = "Requests of workspaces by what their quotas made of them";
        registry.register("workspace_requests", help, self.workspace_requests.clone());
        let help = "Requests that were given back to a quota";
        registry.register("quota_given_back", help, self.quota_given_back.clone());
        let help = "Workspaces of the configuration in force";
        registry.register("workspaces", help, self.known_workspaces.clone());
        let help = "Keys of the configuration in force";
        registry.register("workspace_keys", help, self.known_keys.clone());
        let help = "VMs that entrust their shares of quotas to this one";
        registry.register("quota_depositors", help, self.quota_depositors.clone());
        let help = "Requests that another VM has passed to this one";
        registry.register("relayed_requests", help, self.relayed_requests.clone());
        let help = "Services whose servers are out of reach";
        registry.register(
            "services_out_of_reach",
            help,
            self.services_out_of_reach.clone(),
        );
        let help = "Store entries that could not be read";
        registry.register("unreadable_entries", help, self.unreadable_entries.clone());
        let help = "The version of the configuration in force";
        registry.register("configuration_version", help, self.configuration.clone());
        let help = "The newest version of the configuration that is known to exist";
        registry.register(
            "configuration_newest_version",
            help,
            self.configuration_newest.clone(),
        );
        let help = "The most bytes that wait to be written to one follower";
        registry.register("most_waiting_bytes", help, self.most_waiting_bytes.clone());
        registry.register(
            "servers",
            "Backend servers that may be sent work",
            self.servers.clone(),
        );
        let help = "VMs that share the budgets of probes and repeats";
        registry.register("vms", help, self.vms.clone());
        let help = "Open connections of callers";
        registry.register("callers", help, self.callers.clone());
        let help = "Connections of callers that were refused, as descriptors are short";
        registry.register("refused_callers", help, self.refused_callers.clone());
        let help = "Collections of the store of which entries may be missing";
        registry.register(
            "incomplete_collections",
            help,
            self.incomplete_collections.clone(),
        );
        let help = "Ports that could not be opened yet";
        registry.register("missing_ports", help, self.missing_ports.clone());
        let help = "The part of the probe budget that is there, in thousandths";
        registry.register("probes_left_milli", help, self.probes_left.clone());
        let help = "Seconds since the configuration in force was adopted";
        registry.register(
            "configuration_age_seconds",
            help,
            self.configuration_age.clone(),
        );
        registry.register(
            "followers",
            "VMs that follow this one",
            self.followers.clone(),
        );
        let help = "Servers that name how much they take";
        registry.register("limited_servers", help, self.limited_servers.clone());
        let help = "Servers that are cold and kept to what they bear";
        registry.register("cold_servers", help, self.cold_servers.clone());
        let help = "Servers that want nothing from this VM for a while";
        registry.register("paused_servers", help, self.paused_servers.clone());
        let help = "Availability zones that are evacuated";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "Milliseconds for which the part of the allowance of repeats is left";
        registry.register("repeats_unknown_ms", help, self.repeats_unknown_ms.clone());
        let help = "Requests that are refused as servers ended under them";
        registry.register("quarantined", help, self.quarantined.clone());
        let help = "Log lines of requests that went well, left out beyond their budget";
        registry.register(
            "ordinary_lines_left_out",
            help,
            self.ordinary_lines_left_out.clone(),
        );
        let help = "Log lines left out since the writer was behind";
        registry.register("log_lines_left_out", help, self.log_lines_left_out.clone());
    }

    /// Counts an attempt by how it ended.
    pub fn count_attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a repeat by the failure before it.
    pub fn count_repeat(&self, reason: &'static str) {
        self.repeats.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a failure or refusal by this VM itself.
    pub fn count_failure(&self, reason: &'static str) {
        self.failures.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a probe by how it ended.
    pub fn count_probe(&self, reason: &'static str) {
        self.probes.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a request that was passed to another VM by how it ended.
    pub fn count_relay(&self, reason: &'static str) {
        self.relays.get_or_create(&Reason { reason }).inc();
    }

    /// Counts an answer of a server that was given up by why.
    pub fn count_answer_given_up(&self, reason: &'static str) {
        let label = Reason { reason };
        self.answers_given_up.get_or_create(&label).inc();
    }

    /// Counts a panic of a long-lived task, by its name.
    pub fn count_duty_failed(&self, reason: &'static str) {
        self.duties_failed.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a lost link to a feeder by why it ended.
    pub fn count_reader_lost(&self, reason: &'static str) {
        self.readers.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a check whether the watch of a collection is behind the store.
    pub fn count_watch_check(&self, collection: &'static str, outcome: &'static str) {
        let check = WatchCheck {
            collection,
            outcome,
        };
        self.watch_checks.get_or_create(&check).inc();
    }

    /// Records the latency of an answer by route and outcome.
    pub fn observe_answer(&self, route: Option<&str>, status: u16, took: Duration) {
        let outcome = match status {
            200..300 => "success",
            300..400 => "redirect",
            400..500 => "refused",
            503 => "not_run",
            _ => "failed",
        };
        let route = route.map_or_else(|| OTHER_NAMES.to_owned(), |route| self.routes.label(route));
        let histogram = self.answers.get_or_create(&Answered { route, outcome });
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a request of a workspace by what its quota made of it.
    pub fn count_workspace_request(&self, workspace: &str, outcome: &'static str) {
        let workspace = self.workspaces.label(workspace);
        let label = WorkspaceOutcome { workspace, outcome };
        self.workspace_requests.get_or_create(&label).inc();
    }

    /// Returns all metrics as text.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(error) => format!("# the counters can't be written: {error}\n"),
        }
    }
}
