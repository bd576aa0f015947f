//! `explain`: why requests were refused, retried or kept off a backend server.

use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::args::ExplainArgs;
use crate::context::Context;
use crate::exit::{Code, Outcome};

/// Prints the latest matching decisions of the VMs, newest first.
///
/// # Errors
///
/// Returns an outcome with code 1 if no VM answers.
pub fn explain(context: &Context<'_>, wanted: &ExplainArgs) -> Result<Outcome, Outcome> {
    let fields = [
        ("service", &wanted.service),
        ("reason", &wanted.reason),
        ("request", &wanted.request),
    ];
    let path = format!("/fleet/decisions?{}", query(&fields));
    let mut found = Vec::new();
    let mut errors = Vec::new();
    let vms = context.vms()?;
    for vm in &vms {
        match vm.get::<Vec<Value>>(&path) {
            Ok(decisions) => found.extend(decisions.into_iter().map(|d| (vm.address(), d))),
            Err(error) => errors.push(format!("{}: {error}", vm.address())),
        }
    }
    if errors.len() == vms.len() {
        return Err(Outcome::failure(Code::Failed, errors.join("\n")));
    }
    found.sort_by_key(|(_, decision)| std::cmp::Reverse(decision["at_ms"].as_u64()));
    let inputs = inputs(&vms, wanted);
    let mut outcome = Outcome::success(match context.json() {
        true => {
            let decisions = found.iter();
            let decisions = decisions.map(|(vm, d)| serde_json::json!({ "vm": vm, "decision": d }));
            let inputs = inputs.iter();
            let inputs = inputs.map(|(vm, d)| serde_json::json!({ "vm": vm, "dispatch": d }));
            format!("{}\n", Value::Array(decisions.chain(inputs).collect()))
        }
        false => {
            let decisions = found.iter().map(|(vm, decision)| line(vm, decision));
            let inputs = inputs
                .iter()
                .map(|(vm, decision)| dispatch_line(vm, decision));
            decisions.chain(inputs).collect()
        }
    });
    outcome.err = errors.join("\n");
    Ok(outcome)
}

/// Builds the URL query from the fields that are set.
fn query(fields: &[(&str, &Option<String>)]) -> String {
    let given = fields
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", value.as_ref()?)));
    given.collect::<Vec<_>>().join("&")
}

/// Returns the dispatchers' decisions with their inputs: the queue, the concurrency limit, the expected wait.
fn inputs<'a>(vms: &'a [AdminClient], wanted: &ExplainArgs) -> Vec<(&'a str, Value)> {
    if wanted.reason.is_some() {
        return Vec::new();
    }
    let fields = [("service", &wanted.service), ("request", &wanted.request)];
    let path = format!("/explain?{}", query(&fields));
    let mut found = Vec::new();
    for vm in vms {
        // A VM rejects the id of a request that another VM received, and has no decisions about it.
        let decisions = vm.get::<Vec<Value>>(&path).unwrap_or_default();
        found.extend(
            decisions
                .into_iter()
                .map(|decision| (vm.address(), decision)),
        );
    }
    found
}

fn dispatch_line(vm: &str, decision: &Value) -> String {
    let text = |name: &str| decision[name].as_str().unwrap_or_default();
    format!(
        "{} ms ago {vm} {} {} request {} of {} waited {} ms: {}; it saw {}\n",
        decision["ago_ms"],
        text("service"),
        text("rule"),
        decision["request"],
        text("caller"),
        decision["waited_ms"],
        decision["decided"],
        decision["load"],
    )
}

fn line(vm: &str, decision: &Value) -> String {
    let text = |name: &str| decision[name].as_str().unwrap_or_default();
    format!(
        "{:.3} {vm} {} {} {} {} ({})\n",
        decision["at_ms"].as_u64().unwrap_or_default() as f64 / 1000.0,
        text("decided"),
        text("reason"),
        text("service"),
        text("request"),
        text("inputs"),
    )
}
