//! `workspaces`: what callers of each workspace asked for, and what their quotas made of it, over all VMs.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::json;

use crate::entry_metrics::{Fetched, Sample};
use crate::exit::{Code, Outcome};

/// The requests of one workspace, by what became of them.
#[derive(Clone, Debug, Default, PartialEq)]
struct Counted {
    by_outcome: BTreeMap<String, f64>,
    /// The VMs that refused some, with how many.
    refused_at: BTreeMap<String, f64>,
}

/// The outcome of a request that its quota let begin.
const BEGUN: &str = "begun";

/// Prints the requests of one workspace, or of all, from the metrics of VMs.
pub fn workspaces(name: Option<&str>, vms: &[Fetched], as_json: bool) -> Outcome {
    let mut counted: BTreeMap<String, Counted> = BTreeMap::new();
    for (vm, samples) in vms {
        let samples = samples.iter().flatten();
        let requests = samples.filter(|sample| sample.name == "workspace_requests_total");
        for sample in requests {
            count(&mut counted, vm, sample);
        }
    }
    counted.retain(|workspace, _| name.is_none_or(|name| name == workspace));
    let unreached: Vec<_> = vms.iter().filter(|(_, samples)| samples.is_err()).collect();
    let out = match as_json {
        true => to_json(&counted, &unreached),
        false => to_text(&counted, &unreached),
    };
    match unreached.len() == vms.len() {
        true => Outcome::with_code(Code::Failed, out),
        false => Outcome::success(out),
    }
}

fn count(counted: &mut BTreeMap<String, Counted>, vm: &str, sample: &Sample) {
    let (Some(workspace), Some(outcome)) = (sample.label("workspace"), sample.label("outcome"))
    else {
        return;
    };
    let of_workspace = counted.entry(workspace.to_owned()).or_default();
    *of_workspace
        .by_outcome
        .entry(outcome.to_owned())
        .or_default() += sample.value;
    if outcome != BEGUN {
        *of_workspace.refused_at.entry(vm.to_owned()).or_default() += sample.value;
    }
}

fn to_text(counted: &BTreeMap<String, Counted>, unreached: &[&Fetched]) -> String {
    let mut out = String::new();
    for (workspace, counted) in counted {
        let outcomes = counted.by_outcome.iter();
        let outcomes: Vec<_> = outcomes.map(|(what, n)| format!("{n} {what}")).collect();
        let _ = writeln!(out, "{workspace}: {}", outcomes.join(", "));
        for (vm, refused) in &counted.refused_at {
            let _ = writeln!(out, "  {refused} refused at {vm}");
        }
    }
    if counted.is_empty() {
        out.push_str("no request of a workspace was counted\n");
    }
    for (vm, why) in unreached {
        let why = why.as_ref().err().map_or("", String::as_str);
        let _ = writeln!(out, "not reached: {vm}: {why}");
    }
    out
}

fn to_json(counted: &BTreeMap<String, Counted>, unreached: &[&Fetched]) -> String {
    let workspaces = counted.iter().map(|(workspace, counted)| {
        json!({
            "workspace": workspace,
            "requests": counted.by_outcome,
            "refused_at": counted.refused_at,
        })
    });
    let workspaces: Vec<_> = workspaces.collect();
    let unreached: Vec<_> = unreached.iter().map(|(vm, _)| vm).collect();
    format!(
        "{}\n",
        json!({"workspaces": workspaces, "not_reached": unreached})
    )
}
