//! Everything that a run is made of, drawn before it begins.

use std::time::Duration;

use super::change::{Change, Step};
use super::deployment::Deployment;
use super::outcome::{Cost, End, Outcome, Record};
use super::server::{FakeServer, SlowSpell};
use super::workload::{self, PlannedRequest, Stream};

/// Everything that a run is made of.
#[derive(Clone, Debug)]
pub struct Run {
    /// The places and sizes.
    pub deployment: Deployment,
    /// Every request.
    pub requests: Vec<PlannedRequest>,
    /// What changes.
    pub steps: Vec<Step>,
    /// How long callers send requests.
    pub duration: Duration,
    /// The seed of the slow spells and of the VMs.
    pub seed: u64,
}

impl Run {
    /// Draws the requests of a run.
    pub fn new(deployment: Deployment, streams: &[Stream], duration: Duration, seed: u64) -> Self {
        Self {
            requests: workload::draw(&deployment, streams, duration, seed),
            deployment,
            steps: Vec::new(),
            duration,
            seed,
        }
    }

    /// Builds the backend servers, with every slow spell that is to come.
    pub fn servers(&self) -> Vec<FakeServer> {
        let servers = self.deployment.service.backend_servers.iter().enumerate();
        let mut servers: Vec<FakeServer> = servers
            .map(|(i, server)| {
                let seed = self.seed.wrapping_mul(31).wrapping_add(i as u64);
                let spells = self.deployment.slow_spells;
                FakeServer::new(server.slots, spells, self.duration, seed)
            })
            .collect();
        for step in &self.steps {
            add_spells(&mut servers, step);
        }
        servers
    }

    /// Builds the record of a request that has not ended.
    pub fn record(&self, ask: usize) -> Record {
        let ask = &self.requests[ask];
        let rule = &self.deployment.service.rules[ask.rule];
        Record {
            at: ask.at,
            caller: ask.caller.clone(),
            priority: rule.priority,
            work: ask.work,
            deadline: rule.deadline(),
            end: End::Lost,
            latency: Duration::ZERO,
            sent: 0,
        }
    }

    /// Joins the records of a run and its cost.
    pub fn outcome(&self, records: Vec<Record>, cost: Cost, double_runs: u64) -> Outcome {
        Outcome {
            records,
            cost,
            duration: self.duration,
            slots: self.deployment.slots(),
            vms: self.deployment.vms,
            duplicate_runs: double_runs,
        }
    }
}

/// Adds the slow spells of a step before the run begins: work times must not depend on the policy.
fn add_spells(servers: &mut [FakeServer], step: &Step) {
    match &step.change {
        Change::Slow {
            servers: which,
            factor,
            for_ms,
        } => {
            let until = step.at() + Duration::from_millis(*for_ms);
            for &server in which {
                servers[server].add_spell(SlowSpell {
                    from: step.at(),
                    until,
                    factor: *factor,
                });
            }
        }
        Change::ColdStart {
            servers: which,
            factor,
            for_ms,
        } => {
            for &server in which {
                add_cold_start(&mut servers[server], step.at(), *factor, *for_ms);
            }
        }
        _ => {}
    }
}

/// Steps in which a cold backend server warms up.
const COLD_START_STEPS: u32 = 8;

fn add_cold_start(server: &mut FakeServer, at: Duration, factor: f64, for_ms: u64) {
    let step = Duration::from_millis(for_ms) / COLD_START_STEPS;
    for i in 0..COLD_START_STEPS {
        let warm = f64::from(i) / f64::from(COLD_START_STEPS);
        server.add_spell(SlowSpell {
            from: at + step * i,
            until: at + step * (i + 1),
            factor: factor - (factor - 1.0) * warm,
        });
    }
}
