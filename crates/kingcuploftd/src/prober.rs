//! The prober: reads the health and load endpoints of backend servers when the dispatcher requests a probe.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;
use kingcuploft::dispatcher::{Probe, ProbeResult};
use kingcuploft::world::backend_server::LoadReport;
use serde::Deserialize;
use ureq::Agent;

use crate::message::Message;
use crate::shared::Shared;

/// The most bytes of a load endpoint's answer that are read.
const MAX_LOAD_BYTES: u64 = 4096;

/// The answer of a load endpoint; other fields are ignored.
#[derive(Debug, Deserialize)]
struct Load {
    in_flight: u32,
}

/// The answer of a health endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    healthy: bool,
    draining: bool,
}

/// Runs the prober until the dispatch thread ends.
pub fn run(shared: &Arc<Shared>, probes: &Receiver<Probe>) {
    let agent = agent();
    for probe in probes {
        shared.metrics.probes.inc();
        let result = run_probe(&agent, &probe);
        if !result.healthy {
            tracing::debug!("measure: {} is not healthy.", probe.backend_server);
        }
        if shared.dispatch.send(Message::Probed(result)).is_err() {
            return;
        }
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .build();
    Agent::new_with_config(config)
}

/// Probes the health first: a server that accepts no requests is not asked for its load.
fn run_probe(agent: &Agent, probe: &Probe) -> ProbeResult {
    let health = health(agent, probe).unwrap_or_default();
    let load = match health.healthy {
        true => load(agent, probe).ok(),
        false => None,
    };
    ProbeResult {
        service: probe.service.clone(),
        backend_server: probe.backend_server.clone(),
        healthy: health.healthy,
        draining: health.draining,
        load,
    }
}

fn health(agent: &Agent, probe: &Probe) -> Result<Health, ureq::Error> {
    let url = format!("http://{}{}", probe.address, probe.signals.health_path);
    let response = with_timeout(agent.get(url), probe.timeout).call()?;
    let draining = response.headers();
    let draining = draining.contains_key(&probe.signals.drain_header);
    Ok(Health {
        healthy: response.status().is_success() && !draining,
        draining,
    })
}

fn load(agent: &Agent, probe: &Probe) -> Result<LoadReport, ureq::Error> {
    let url = format!("http://{}{}", probe.address, probe.signals.load_path);
    let mut response = with_timeout(agent.get(url), probe.timeout).call()?;
    let body = response.body_mut().with_config().limit(MAX_LOAD_BYTES);
    let load: Load = body.read_json()?;
    Ok(LoadReport {
        in_flight: load.in_flight,
    })
}

fn with_timeout(
    request: ureq::RequestBuilder<ureq::typestate::WithoutBody>,
    timeout: Duration,
) -> ureq::RequestBuilder<ureq::typestate::WithoutBody> {
    request.config().timeout_global(Some(timeout)).build()
}
