//! Generates the mixed traffic of a deployment: lookups of all services, and protected actions, some of them sent twice.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::callers::CallPlan;
use crate::deployment::Deployment;
use crate::load::{self, ScheduledCall};

/// One call in this many is a protected action if it goes to the first service.
const CALLS_PER_ACTION: usize = 10;

/// One protected action in this many is sent again with the same idempotency key, through any VM.
const ACTIONS_PER_RESEND: usize = 4;

/// How long after the first send a protected action is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// The deadline of every call.
const DEADLINE: Duration = Duration::from_secs(2);

/// The names of the callers, sent as `x-caller`.
const CALLER_NAMES: [&str; 4] = ["coach", "manager", "office", "desk"];

/// The mixed traffic and the idempotency keys in it.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// The calls, sorted by due time.
    pub calls: Vec<ScheduledCall>,
    /// The idempotency keys of the protected actions.
    pub keys: Vec<String>,
}

/// Draws the traffic for a time.
pub fn mixed(deployment: &Deployment, per_second: f64, time: Duration, seed: u64) -> Traffic {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut traffic = Traffic::default();
    for (i, at) in load::arrivals(&mut rng, per_second, time)
        .into_iter()
        .enumerate()
    {
        let group = rng.usize(..deployment.services.len());
        let host = format!("{}.example", deployment.services[group].name);
        let caller = CALLER_NAMES[rng.usize(..CALLER_NAMES.len())];
        let mut call = lookup(at, rng.usize(..), host, caller, group, i);
        if group == 0 && i % CALLS_PER_ACTION == 0 {
            let key = format!("{seed}-{i}");
            call.plan.method = Method::POST;
            call.plan.path = format!("{}/{i}", protected_path(deployment));
            call.plan.headers.push(("idempotency-key", key.clone()));
            call.plan.body = Bytes::from(format!("action {i}"));
            if traffic.keys.len().is_multiple_of(ACTIONS_PER_RESEND) {
                traffic.calls.push(resend(&call, &mut rng));
            }
            traffic.keys.push(key);
        }
        traffic.calls.push(call);
    }
    traffic.calls.sort_by_key(|call| call.at);
    traffic
}

fn lookup(
    at: Duration,
    to: usize,
    host: String,
    caller: &str,
    group: usize,
    i: usize,
) -> ScheduledCall {
    ScheduledCall {
        at,
        address_index: to,
        plan: CallPlan {
            method: Method::GET,
            host,
            path: format!("/lookup/{i}"),
            headers: vec![("x-caller", caller.to_owned())],
            body: Bytes::new(),
        },
        deadline: DEADLINE,
        group,
    }
}

fn resend(call: &ScheduledCall, rng: &mut fastrand::Rng) -> ScheduledCall {
    let mut resent = call.clone();
    resent.at += RESEND_DELAY;
    resent.address_index = rng.usize(..);
    resent
}

/// Returns the path of the protected actions of a deployment's first service.
pub fn protected_path(deployment: &Deployment) -> &'static str {
    match deployment.services[0].name {
        "notes" => "/publications",
        _ => "/holds",
    }
}
