//! The inputs of a run, drawn from its seed before it begins, so that they do not depend on the policy.

use std::time::Duration;

use super::change::{Change, Step};
use super::deployment::Deployment;
use super::outcome::{Cost, End, Outcome, Record};
use super::server::{FakeServer, SlowSpell};
use super::workload::{self, PlannedRequest, Stream};

/// The inputs of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The deployment.
    pub deployment: Deployment,
    /// All requests, in the order of arrival.
    pub requests: Vec<PlannedRequest>,
    /// The scheduled changes.
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

    /// Builds the backend servers, with all slow spells of the run.
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

    /// Builds the record of a request that has not ended yet.
    pub fn record(&self, index: usize) -> Record {
        let request = &self.requests[index];
        let rule = &self.deployment.service.rules[request.rule];
        Record {
            arrived_at: request.arrives_at,
            caller: request.caller.clone(),
            priority: rule.priority,
            work: request.work,
            deadline: rule.deadline(),
            end: End::Lost,
            latency: Duration::ZERO,
            call_count: 0,
        }
    }

    /// Builds the outcome from the records and cost of a run.
    pub fn outcome(&self, records: Vec<Record>, cost: Cost, duplicate_runs: u64) -> Outcome {
        Outcome {
            records,
            cost,
            duration: self.duration,
            slots: self.deployment.slots(),
            vm_count: self.deployment.vm_count,
            duplicate_runs,
        }
    }
}

/// Adds the slow spells of a step before the run begins: work times must not depend on the policy.
fn add_spells(servers: &mut [FakeServer], step: &Step) {
    match &step.change {
        Change::Slow {
            servers: affected,
            factor,
            for_ms,
        } => {
            let until = step.at() + Duration::from_millis(*for_ms);
            for &server in affected {
                servers[server].add_spell(SlowSpell {
                    from: step.at(),
                    until,
                    factor: *factor,
                });
            }
        }
        Change::ColdStart {
            servers: affected,
            factor,
            for_ms,
        } => {
            for &server in affected {
                add_cold_start(&mut servers[server], step.at(), *factor, *for_ms);
            }
        }
        _ => {}
    }
}

/// The number of steps in affected a cold backend server speeds up.
const COLD_START_STEPS: u32 = 8;

/// Adds a cold start as slow spells whose factor falls linearly towards 1.
fn add_cold_start(server: &mut FakeServer, at: Duration, factor: f64, for_ms: u64) {
    let step = Duration::from_millis(for_ms) / COLD_START_STEPS;
    for i in 0..COLD_START_STEPS {
        let progress = f64::from(i) / f64::from(COLD_START_STEPS);
        server.add_spell(SlowSpell {
            from: at + step * i,
            until: at + step * (i + 1),
            factor: factor - (factor - 1.0) * progress,
        });
    }
}
