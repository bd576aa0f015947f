//! `connections`: who holds the descriptors of entry VMs, and who has given way.

use std::fmt::Write as _;

use serde_json::{Value, json};

use crate::entry_metrics::{Fetched, Sample};
use crate::exit::{Code, Outcome};

/// The metrics that are told, in their order.
const METRICS: [&str; 8] = [
    "connections_bound",
    "callers",
    "idle_callers",
    "server_connections",
    "idle_server_connections",
    "server_connections_closed",
    "callers_closed",
    "refused_callers",
];

/// Prints the connections of each VM.
pub fn connections(vms: &[Fetched], as_json: bool) -> Outcome {
    let out = match as_json {
        true => to_json(vms),
        false => vms.iter().map(to_text).collect(),
    };
    let code = match vms.iter().all(|(_, samples)| samples.is_ok()) {
        true => Code::Success,
        false => Code::Failed,
    };
    Outcome::with_code(code, out)
}

/// Returns the metrics that the VM has; an earlier program has fewer.
fn told(samples: &[Sample]) -> impl Iterator<Item = (&'static str, u64)> {
    METRICS.into_iter().filter_map(|name| {
        let sample = samples.iter().find(|sample| sample.name == name)?;
        Some((name, sample.value as u64))
    })
}

fn to_text((vm, samples): &Fetched) -> String {
    let mut out = format!("{vm}:");
    match samples {
        Ok(samples) => {
            for (at, (name, value)) in told(samples).enumerate() {
                let separator = if at == 0 { "" } else { "," };
                let _ = write!(out, "{separator} {value} {name}");
            }
        }
        Err(_) => out.push_str(" not reached"),
    }
    out.push('\n');
    out
}

fn to_json(vms: &[Fetched]) -> String {
    let vms = vms.iter().map(|(vm, samples)| {
        let held = samples.as_ref().ok().map(|samples| {
            let held = told(samples).map(|(name, value)| (name.to_owned(), json!(value)));
            Value::Object(held.collect())
        });
        json!({"vm": vm, "connections": held})
    });
    let vms: Vec<_> = vms.collect();
    format!("{}\n", json!({ "vms": vms }))
}
