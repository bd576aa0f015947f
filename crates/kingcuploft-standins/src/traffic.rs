//! The mixed traffic of a deployment: lookups and protected actions of all services.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::callers::CallPlan;
use crate::deployment::Deployment;
use crate::load::{self, ScheduledCall};

/// One in this many calls to a service with protected actions is one of them.
const ACTION_EVERY: usize = 10;

/// One in this many protected actions is sent again under the same key through another VM.
const RESENT_EVERY: usize = 4;

/// How long after the first a protected action is sent again.
const RESENT_AFTER: Duration = Duration::from_millis(300);

/// The deadline of every call.
const DEADLINE: Duration = Duration::from_secs(2);

/// The names of the callers.
const CALLERS: [&str; 4] = ["coach", "manager", "office", "desk"];

/// The mixed traffic and the idempotency keys in it.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// The calls, by when they are due.
    pub calls: Vec<ScheduledCall>,
    /// The idempotency keys.
    pub keys: Vec<String>,
}

/// Draws traffic for a time.
pub fn mixed(deployment: &Deployment, per_second: f64, time: Duration, seed: u64) -> Traffic {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut traffic = Traffic::default();
    for (i, at) in load::arrivals(&mut rng, per_second, time)
        .into_iter()
        .enumerate()
    {
        let group = rng.usize(..deployment.services.len());
        let host = format!("{}.example", deployment.services[group].name);
        let caller = CALLERS[rng.usize(..CALLERS.len())];
        let mut call = lookup(at, rng.usize(..), host, caller, group, i);
        if group == 0 && i % ACTION_EVERY == 0 {
            let key = format!("{seed}-{i}");
            call.plan.method = Method::POST;
            call.plan.path = format!("{}/{i}", protected_path(deployment));
            call.plan.headers.push(("idempotency-key", key.clone()));
            call.plan.body = Bytes::from(format!("action {i}"));
            if traffic.keys.len().is_multiple_of(RESENT_EVERY) {
                traffic.calls.push(resent(&call, &mut rng));
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

fn resent(call: &ScheduledCall, rng: &mut fastrand::Rng) -> ScheduledCall {
    let mut again = call.clone();
    again.at += RESENT_AFTER;
    again.address_index = rng.usize(..);
    again
}

/// Returns the path of the protected actions of a deployment's first service.
pub fn protected_path(deployment: &Deployment) -> &'static str {
    match deployment.services[0].name {
        "notes" => "/publications",
        _ => "/holds",
    }
}
