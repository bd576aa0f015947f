//! `status`: each VM's generation, readiness, drains and refusals, and whether the VMs agree.

use serde_json::Value;

use crate::context::Context;
use crate::exit::{Code, Outcome};

/// Prints the state of each VM. The exit code says whether all VMs answer, are ready and have the same active
/// generation.
///
/// # Errors
///
/// Returns an outcome if no VM was named, or the clients of the VMs cannot be built.
pub fn status(context: &Context<'_>) -> Result<Outcome, Outcome> {
    let vms = context.vms()?;
    let read = vms
        .iter()
        .map(|vm| (vm.address(), vm.get::<Value>("/status")));
    let read: Vec<_> = read.collect();
    let answered = || read.iter().filter_map(|(_, status)| status.as_ref().ok());
    let mut generations: Vec<u64> = answered().map(generation).collect();
    generations.sort_unstable();
    generations.dedup();
    let all_ready = answered().all(|s| s["ready"] == true) && answered().count() == read.len();
    let code = match all_ready && generations.len() == 1 {
        true => Code::Success,
        false => Code::Differs,
    };
    if context.json() {
        let lines = read.iter().map(|(address, status)| match status {
            Ok(status) => serde_json::json!({ "address": address, "status": status }),
            Err(error) => serde_json::json!({ "address": address, "error": error.to_string() }),
        });
        return Ok(Outcome::with_code(
            code,
            format!("{}\n", Value::Array(lines.collect())),
        ));
    }
    let mut out = format!(
        "{:<22} {:<16} {:<10} {:>10} {:<9} {:>7} {:>6} {:>8}\n",
        "ADDRESS", "VM", "ZONE", "GENERATION", "READY", "MEMBERS", "DRAINS", "REFUSALS"
    );
    for (address, status) in &read {
        out += &match status {
            Ok(status) => line(address, status),
            Err(error) => format!("{address:<22} {error}\n"),
        };
    }
    if generations.len() > 1 {
        out += &format!("generations in force: {generations:?}\n");
    }
    Ok(Outcome::with_code(code, out))
}

fn generation(status: &Value) -> u64 {
    status["generation"].as_u64().unwrap_or_default()
}

fn line(address: &str, status: &Value) -> String {
    let text = |name: &str| status[name].as_str().unwrap_or_default();
    let refusals = status["refusals"].as_object();
    let refusals = refusals.map_or(0, |r| r.values().filter_map(Value::as_u64).sum());
    let ready = match (status["ready"] == true, status["stopping"] == true) {
        (true, _) => "ready",
        (false, true) => "stopping",
        (false, false) => "not ready",
    };
    let mut line = format!(
        "{address:<22} {:<16} {:<10} {:>10} {ready:<9} {:>7} {:>6} {refusals:>8}\n",
        text("vm"),
        text("availability_zone"),
        generation(status),
        status["live_members"].as_u64().unwrap_or_default(),
        status["drains"].as_array().map_or(0, Vec::len),
    );
    for (service, load) in status["services"].as_object().into_iter().flatten() {
        let (queue, in_flight, limit) = (&load["queue"], &load["in_flight"], &load["limit"]);
        line += &format!("    {service}: {queue} waiting, {in_flight} of {limit} in flight\n");
    }
    for drain in status["drains"].as_array().into_iter().flatten() {
        let text = |name: &str| drain[name].as_str().unwrap_or_default();
        let (service, server) = (text("service"), text("backend_server"));
        line += &format!("    {server} of {service} drains\n");
    }
    if let Some(fault) = status["manifest"]["fault"].as_str() {
        line += &format!("    manifest: {fault}\n");
    }
    let (heard, missing) = (&status["manifest"]["heard"], &status["manifest"]["missing"]);
    if heard.as_u64().unwrap_or_default() > generation(status) {
        line += &format!("    generation {heard} is known of, {missing} objects are missing\n");
    }
    line
}
