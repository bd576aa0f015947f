//! The rules that every day must keep: each reports whether a day broke it, and how near the day came to its bound.
//!
//! The rules check only the history that callers, servers and the store observed.

mod cut_vms;
mod fleet;
mod own_words;
mod propagation;
mod requests;
mod restarts;
mod workspaces;

use std::time::Duration;

use kingcuploft::utils::HashMap;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::history::{Arrival, Completion, History, Outcome, Request};
use crate::simulation::DayResult;

/// The rules.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// All VMs together repeat at most a share of the requests plus an allowance.
    RepeatBudget,
    /// A request that may run only once runs at most once.
    AtMostOnce,
    /// A request that was refused as not run has indeed not run.
    TruthfulRefusals,
    /// A successful answer is complete and belongs to the caller's own request.
    WholeAnswers,
    /// A draining server gets no requests after its drain time.
    Draining,
    /// A server whose answer said that it leaves gets no requests from that VM after its drain time.
    LeavingAnswers,
    /// A server that asked a VM for a pause gets next to nothing from it until the end.
    RequestedPauses,
    /// A configuration is in force on all VMs in time.
    ConfigurationInForce,
    /// A VM does not go back to an older configuration.
    NeverReverts,
    /// An evacuated zone gets no requests after the evacuation time.
    Evacuations,
    /// A cold server gets no more requests than it can take.
    ColdServers,
    /// A server that names a limit gets no more requests than that limit allows.
    NamedLimits,
    /// A request that crashes servers is quarantined and kept from the other servers.
    Quarantine,
    /// Servers are probed at a bounded rate.
    Probes,
    /// A planned stop interrupts no request.
    PlannedStops,
    /// All VMs together run no more requests of a workspace than its quota allows.
    Quotas,
    /// A key that was taken away opens nothing once the configuration must be in force.
    TakenKeys,
    /// Callers of VMs that are cut off from servers are served about as often as the others.
    FirstTriesAtCutVms,
    /// A VM that starts again serves callers soon if it can reach a VM that knows what it needs.
    RestartedVmsServe,
}

impl Rule {
    /// All rules.
    pub const ALL: [Self; 19] = [
        Self::RepeatBudget,
        Self::AtMostOnce,
        Self::TruthfulRefusals,
        Self::WholeAnswers,
        Self::Draining,
        Self::LeavingAnswers,
        Self::RequestedPauses,
        Self::ConfigurationInForce,
        Self::NeverReverts,
        Self::Evacuations,
        Self::ColdServers,
        Self::NamedLimits,
        Self::Quarantine,
        Self::Probes,
        Self::PlannedStops,
        Self::FirstTriesAtCutVms,
        Self::Quotas,
        Self::TakenKeys,
        Self::RestartedVmsServe,
    ];
}

/// How near a day came to the bound of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundUsage {
    /// The rule.
    pub rule: Rule,
    /// The greatest share of the allowed amount that was used; the rule is broken above 1.
    pub used: f64,
    /// Where that was.
    pub what: String,
}

impl BoundUsage {
    /// Returns whether the rule is broken.
    pub fn is_broken(&self) -> bool {
        self.used > 1.0
    }

    /// Returns the usage of a rule whose bound was not used at all.
    fn none(rule: Rule) -> Self {
        Self {
            rule,
            used: 0.0,
            what: String::new(),
        }
    }

    /// Returns the usage of a rule that allows no violations: the first one breaks it.
    fn of_violations(rule: Rule, count: usize, what: String) -> Self {
        let used = match count {
            0 => 0.0,
            count => 1.0 + count as f64,
        };
        Self { rule, used, what }
    }

    /// Returns the usage `used` of the same rule if it is greater than this one, else this one.
    fn or_greater(self, used: f64, what: impl FnOnce() -> String) -> Self {
        match used > self.used {
            true => Self {
                used,
                what: what(),
                ..self
            },
            false => self,
        }
    }
}

/// The history of a day, indexed by request.
struct IndexedHistory<'a> {
    deployment: &'a Deployment,
    raw: &'a History,
    requests: Vec<Request>,
    arrivals: Vec<Arrival>,
    completions: HashMap<u64, Completion>,
    sent_at: HashMap<u64, Duration>,
}

impl<'a> IndexedHistory<'a> {
    fn of(result: &'a DayResult) -> Self {
        let raw = &*result.history;
        let completions = raw.completions.borrow();
        let requests = raw.requests.borrow();
        Self {
            deployment: &result.deployment,
            raw,
            sent_at: requests
                .iter()
                .map(|request| (request.id, request.at))
                .collect(),
            requests: requests.clone(),
            arrivals: raw.arrivals.borrow().clone(),
            completions: completions
                .iter()
                .map(|completion| (completion.id, *completion))
                .collect(),
        }
    }

    fn outcome(&self, id: u64) -> Option<Outcome> {
        self.completions
            .get(&id)
            .map(|completion| completion.outcome)
    }

    /// Returns when a request was sent by its caller.
    fn sent_at(&self, id: u64) -> Option<Duration> {
        self.sent_at.get(&id).copied()
    }

    fn arrivals_by_request(&self) -> HashMap<u64, Vec<&Arrival>> {
        let mut by_request: HashMap<u64, Vec<&Arrival>> = HashMap::default();
        for arrival in &self.arrivals {
            by_request.entry(arrival.id).or_default().push(arrival);
        }
        by_request
    }
}

/// What is measured of a day beside the rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Restarts {
    /// How many VMs started again.
    pub starts: usize,
    /// How many of them were ready before they ended or the day did.
    pub ready: usize,
    /// How long the last of these took, in milliseconds.
    pub last_ready_after_ms: u64,
    /// The calls of the store, for each VM and second of the day.
    pub store_calls_per_vm_s: f64,
    /// The most calls of one VM in any second.
    pub most_store_calls_in_s: usize,
}

/// Measures how VMs that start again become ready, and what that costs the store.
pub fn restarts(result: &DayResult) -> Restarts {
    restarts::measure(result)
}

/// Checks a day against all rules.
pub fn check(result: &DayResult) -> Vec<BoundUsage> {
    let history = IndexedHistory::of(result);
    let usages = Rule::ALL.map(|rule| match rule {
        Rule::RepeatBudget => fleet::budget(&history),
        Rule::AtMostOnce => requests::at_most_once(&history),
        Rule::TruthfulRefusals => requests::truthful_refusals(&history),
        Rule::WholeAnswers => requests::whole_answers(&history),
        Rule::PlannedStops => requests::planned_stops(&history),
        Rule::FirstTriesAtCutVms => cut_vms::first_tries(&history),
        Rule::RestartedVmsServe => restarts::restarted_vms_serve(&history),
        Rule::Quotas => workspaces::quotas(&history),
        Rule::TakenKeys => workspaces::taken_keys(&history),
        Rule::Draining => propagation::draining(&history),
        Rule::LeavingAnswers => own_words::leaving_answers(&history),
        Rule::RequestedPauses => own_words::requested_pauses(&history),
        Rule::ConfigurationInForce => propagation::configuration(&history),
        Rule::NeverReverts => propagation::never_reverts(&history),
        Rule::Evacuations => propagation::evacuations(&history),
        Rule::ColdServers => fleet::cold_servers(&history),
        Rule::NamedLimits => fleet::named_limits(&history),
        Rule::Quarantine => requests::quarantine(&history),
        Rule::Probes => fleet::probes(&history),
    });
    usages.to_vec()
}

/// Returns the share of the callers' first requests, deadly ones left out, that got a complete answer in the end, retries
/// included.
pub fn answered_share(result: &DayResult) -> f64 {
    let history = IndexedHistory::of(result);
    let first_requests = history.requests.iter();
    let first_requests = first_requests.filter(|request| request.is_first && !request.is_deadly);
    let first_requests = first_requests.count();
    let complete = history.requests.iter();
    let complete =
        complete.filter(|request| history.outcome(request.id) == Some(Outcome::Complete));
    complete.count() as f64 / first_requests.max(1) as f64
}
