//! The rules: each tells whether a day kept it, and how near the day came to its bound.
//!
//! They judge by what callers, servers and the store saw.

mod fleet;
mod propagation;
mod requests;

use kingcuploft::utils::HashMap;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::history::{Arrival, Completion, History, Outcome, Request};
use crate::simulation::DayResult;

/// A rule.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// All VMs together repeat a share of the requests, and an allowance.
    RepeatBudget,
    /// A request that may run once runs once.
    AtMostOnce,
    /// A caller that is told that its request has not run can rely on it.
    TruthfulRefusals,
    /// An answer is whole, and the caller's own.
    WholeAnswers,
    /// A leaving server gets nothing after its time.
    Draining,
    /// A configuration is in force in time.
    ConfigurationInForce,
    /// A VM does not go back to an older configuration.
    NeverReverts,
    /// An emptied zone gets nothing after its time.
    Evacuations,
    /// A cold server gets what it bears.
    ColdServers,
    /// A server that names a limit gets so many requests at most.
    NamedLimits,
    /// A request under which servers end is kept from the others.
    Quarantine,
    /// Servers are probed so often at most.
    Probes,
    /// A planned stop cuts no request.
    PlannedStops,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 13] = [
        Self::RepeatBudget,
        Self::AtMostOnce,
        Self::TruthfulRefusals,
        Self::WholeAnswers,
        Self::Draining,
        Self::ConfigurationInForce,
        Self::NeverReverts,
        Self::Evacuations,
        Self::ColdServers,
        Self::NamedLimits,
        Self::Quarantine,
        Self::Probes,
        Self::PlannedStops,
    ];
}

/// How near a day came to the bound of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundUsage {
    /// The rule.
    pub rule: Rule,
    /// The most that was used of what is allowed: the rule is broken above 1.
    pub used: f64,
    /// Where that was.
    pub what: String,
}

impl BoundUsage {
    /// Returns whether the rule is broken.
    pub fn is_broken(&self) -> bool {
        self.used > 1.0
    }

    fn none(rule: Rule) -> Self {
        Self {
            rule,
            used: 0.0,
            what: String::new(),
        }
    }

    /// Counts what must not happen at all: the first one breaks the rule.
    fn of_violations(rule: Rule, count: usize, what: String) -> Self {
        let used = match count {
            0 => 0.0,
            count => 1.0 + count as f64,
        };
        Self { rule, used, what }
    }

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

/// What was seen, found by request.
struct IndexedHistory<'a> {
    deployment: &'a Deployment,
    history: &'a History,
    requests: Vec<Request>,
    arrivals: Vec<Arrival>,
    answers: HashMap<u64, Completion>,
}

impl<'a> IndexedHistory<'a> {
    fn of(played: &'a DayResult) -> Self {
        let seen = &*played.history;
        let answers = seen.answers.borrow();
        Self {
            deployment: &played.deployment,
            history: seen,
            requests: seen.requests.borrow().clone(),
            arrivals: seen.arrivals.borrow().clone(),
            answers: answers.iter().map(|answer| (answer.id, *answer)).collect(),
        }
    }

    fn outcome(&self, id: u64) -> Option<Outcome> {
        self.answers.get(&id).map(|answered| answered.answer)
    }

    fn arrivals_by_request(&self) -> HashMap<u64, Vec<&Arrival>> {
        let mut by_request: HashMap<u64, Vec<&Arrival>> = HashMap::default();
        for arrival in &self.arrivals {
            by_request.entry(arrival.id).or_default().push(arrival);
        }
        by_request
    }
}

/// Judges a day by all rules.
pub fn check(played: &DayResult) -> Vec<BoundUsage> {
    let case = IndexedHistory::of(played);
    let judged = Rule::ALL.map(|rule| match rule {
        Rule::RepeatBudget => fleet::budget(&case),
        Rule::AtMostOnce => requests::at_most_once(&case),
        Rule::TruthfulRefusals => requests::truthful_refusals(&case),
        Rule::WholeAnswers => requests::whole_answers(&case),
        Rule::PlannedStops => requests::planned_stops(&case),
        Rule::Draining => propagation::draining(&case),
        Rule::ConfigurationInForce => propagation::configuration(&case),
        Rule::NeverReverts => propagation::never_reverts(&case),
        Rule::Evacuations => propagation::evacuations(&case),
        Rule::ColdServers => fleet::cold_servers(&case),
        Rule::NamedLimits => fleet::named_limits(&case),
        Rule::Quarantine => requests::quarantine(&case),
        Rule::Probes => fleet::probes(&case),
    });
    judged.to_vec()
}

/// Returns the share of first requests that were answered whole in the end, by their callers' own count.
pub fn answered_share(played: &DayResult) -> f64 {
    let case = IndexedHistory::of(played);
    let asked = case.requests.iter();
    let asked = asked.filter(|request| request.is_first && !request.is_deadly);
    let asked = asked.count();
    let whole = case.requests.iter();
    let whole = whole.filter(|request| case.outcome(request.id) == Some(Outcome::Complete));
    whole.count() as f64 / asked.max(1) as f64
}
