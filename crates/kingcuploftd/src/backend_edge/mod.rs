//! The backend edge: worker threads that call backend servers.

mod transport;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use kingcuploft::manifest::Signals;
use kingcuploft::world::backend_server::{CallEnd, CallReport, LoadReport};
use ureq::Agent;
use ureq::http::HeaderMap;

use crate::message::{Answer, CallOrder, Message};
use crate::shared::Shared;

/// Runs one worker until the dispatch duty ends.
pub fn run(shared: &Arc<Shared>, ring: &Receiver<CallOrder>, agent: &Agent) {
    for order in ring {
        let (report, answer) = call(agent, &order);
        let message = Message::Ended {
            attempt: order.call.attempt,
            report,
            answer: answer.map(Box::new),
        };
        if shared.dispatch.send(message).is_err() {
            return;
        }
    }
}

/// Builds the agent that all workers share.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_idle_connections(1024)
        .max_idle_connections_per_host(32)
        .build();
    Agent::with_parts(
        config,
        transport::WitnessConnector,
        ureq::unversioned::resolver::DefaultResolver::default(),
    )
}

/// Calls a backend server and reads its whole answer.
fn call(agent: &Agent, order: &CallOrder) -> (CallReport, Option<Answer>) {
    let began = Instant::now();
    transport::begin_call();
    let result = exchange(agent, order, began);
    let latency = began.elapsed();
    let signals = &order.call.route.service.signals;
    match result {
        Ok(answer) => {
            let end = end_of(&answer, order);
            let report = CallReport {
                end,
                latency,
                load: load(signals, &answer.headers),
                draining: answer.headers.contains_key(&signals.drain_header),
            };
            (report, Some(answer))
        }
        Err(error) => {
            let report = CallReport {
                end: end_of_error(&error),
                latency,
                load: None,
                draining: false,
            };
            (report, None)
        }
    }
}

fn exchange(agent: &Agent, order: &CallOrder, now: Instant) -> Result<Answer, ureq::Error> {
    let parts = &order.parts;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", order.call.address);
    let mut request = ureq::http::Request::builder()
        .method(parts.method.clone())
        .uri(uri);
    for (name, value) in &parts.headers {
        request = request.header(name, value);
    }
    let left = order.call.deadline.saturating_duration_since(now);
    let id_header = &order.call.route.service.signals.request_id_header;
    let request = request
        .header("x-deadline-ms", left.as_millis().to_string())
        .header(id_header, order.call.request.to_string())
        .body(&parts.body[..])?;
    let left = left.max(Duration::from_millis(1));
    let request = agent
        .configure_request(request)
        .timeout_global(Some(left))
        .allow_non_standard_methods(true)
        .build();
    let response = agent.run(request)?;
    let (head, mut body) = response.into_parts();
    let limit = order.call.route.rule().whole_answer_bytes;
    let body = body.with_config().limit(limit).read_to_vec()?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.into(),
    })
}

/// Tells what a whole answer means; a crossed one is not this request's.
fn end_of(answer: &Answer, order: &CallOrder) -> CallEnd {
    let signals = &order.call.route.service.signals;
    let echoed = answer.headers.get(&signals.request_id_header);
    let own = order.call.request.to_string();
    if echoed.is_some_and(|echoed| echoed.as_bytes() != own.as_bytes()) {
        return CallEnd::Broken;
    }
    let refused = answer.headers.contains_key(&signals.refused_header);
    if refused && answer.status.as_u16() == 503 {
        return CallEnd::Refused;
    }
    CallEnd::Answered {
        status: answer.status.as_u16(),
    }
}

/// Tells what an error means: the transport's witness knows whether a byte was handed over.
fn end_of_error(error: &ureq::Error) -> CallEnd {
    if !transport::was_sent() {
        return CallEnd::NeverSent;
    }
    match error {
        ureq::Error::Timeout(_) => CallEnd::TimedOut,
        ureq::Error::BodyExceedsLimit(_) => CallEnd::TooLarge,
        _ => CallEnd::Broken,
    }
}

fn load(signals: &Signals, headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(&signals.load_header)?.to_str().ok()?;
    let in_flight = value.trim().parse().ok()?;
    Some(LoadReport { in_flight })
}
