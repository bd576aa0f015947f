//! `explain`: why requests were refused, retried or kept off a backend server.

use serde_json::Value;

use crate::args::ExplainArgs;
use crate::context::Context;
use crate::exit::{Code, Ending};

/// Prints the last decisions of the VMs that fit, newest first.
///
/// # Errors
///
/// An ending with code 1 where no VM answers.
pub fn explain(context: &Context<'_>, wanted: &ExplainArgs) -> Result<Ending, Ending> {
    let fields = [
        ("service", &wanted.service),
        ("reason", &wanted.reason),
        ("request", &wanted.request),
    ];
    let given = fields
        .iter()
        .filter_map(|(name, value)| Some((name, value.as_ref()?)));
    let query: Vec<String> = given
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let path = format!("/fleet/decisions?{}", query.join("&"));
    let mut found = Vec::new();
    let mut why = Vec::new();
    let vms = context.vms()?;
    for vm in &vms {
        match vm.get::<Vec<Value>>(&path) {
            Ok(decisions) => found.extend(decisions.into_iter().map(|d| (vm.address(), d))),
            Err(error) => why.push(format!("{}: {error}", vm.address())),
        }
    }
    if why.len() == vms.len() {
        return Err(Ending::because(Code::Failed, why.join("\n")));
    }
    found.sort_by_key(|(_, decision)| std::cmp::Reverse(decision["at_ms"].as_u64()));
    let mut ending = Ending::done(match context.json() {
        true => {
            let lines = found
                .iter()
                .map(|(vm, d)| serde_json::json!({ "vm": vm, "decision": d }));
            format!("{}\n", Value::Array(lines.collect()))
        }
        false => found
            .iter()
            .map(|(vm, decision)| line(vm, decision))
            .collect(),
    });
    ending.err = why.join("\n");
    Ok(ending)
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
