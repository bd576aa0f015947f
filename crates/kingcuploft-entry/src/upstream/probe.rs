//! Probes a server for its load report.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::world::wire_text::RequestPath;

use super::own_answer::{self, AwaitedAnswer};
use super::probe_step::ProbeStep;
use super::server_signals;
use super::{ConnectError, ReportSource, Upstream};
use crate::clock;
use crate::cold_servers;
use crate::context::Context;
use crate::http::client::Response;
use crate::http::headers::write_header;
use crate::limits;
use crate::pauses;
use crate::peers::load_reports;
use crate::reach;

/// How long a probe may take: many times the longest round trip of a region.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// How much longer the answer on a new connection is waited for: the work at a fully loaded server ends within it.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The most bytes of the answer to a probe.
const MAX_PROBE_RESPONSE_BYTES: usize = 16 * 1024;

/// Starts a probe of a server, unless its last load report is fresh, a probe is in flight, it did not answer lately, or
/// it wants nothing now.
pub fn start(context: &Rc<Context>, upstream: &Rc<Upstream>, health_path: &RequestPath) {
    let now = clock::now();
    let fresh = upstream.has_fresh_load_report(now, context.max_load_report_age());
    if upstream.is_probe_in_flight() || fresh || upstream.is_unresponsive(now) {
        return;
    }
    if pauses::is_paused(context, now, &upstream.server.name) {
        return;
    }
    if !upstream.has_connection_available(context.connection_share(&upstream.server.service)) {
        context.metrics.count_probe("no_connection");
        return;
    }
    if !context.take_probe(now) {
        context.metrics.count_probe("no_budget");
        return;
    }
    upstream.usage().probe_in_flight.set(true);
    let (context, upstream) = (context.clone(), upstream.clone());
    let request = request(&upstream, health_path);
    tokio::task::spawn_local(async move { probe(&context, &upstream, &request).await });
}

/// Sends a probe and records its result.
///
/// Load pattern: a new connection takes a slot for a moment, and at a server with all slots taken it waits for one.
/// Such a server is not dead but full. If the probe were given up, its connection would be opened again and again,
/// each time at the price of a slot's time. So the server counts as unresponsive after [`PROBE_TIMEOUT`], but the
/// answer is still waited for: it brings a connection on which the next probe is answered at once.
async fn probe(context: &Rc<Context>, upstream: &Rc<Upstream>, request: &[u8]) {
    let started_at = clock::now();
    let step = Cell::new(ProbeStep::Connecting);
    let mut asking = std::pin::pin!(exchange(context, upstream, request, &step));
    if let Ok(answered) = tokio::time::timeout(PROBE_TIMEOUT, &mut asking).await {
        return finish(context, upstream, answered, &step, started_at);
    }
    finish(context, upstream, None, &step, started_at);
    if matches!(step.get(), ProbeStep::Connecting | ProbeStep::New) {
        upstream.usage().awaits_late_answer.set(true);
        let answered = tokio::time::timeout(LATE_ANSWER_TIMEOUT, asking).await;
        upstream.usage().awaits_late_answer.set(false);
        if let Ok(Some(response)) = answered {
            finish(context, upstream, Some(response), &step, started_at);
        }
    }
}

fn finish(
    context: &Context,
    upstream: &Rc<Upstream>,
    answered: Option<Response>,
    step: &Cell<ProbeStep>,
    started_at: Instant,
) {
    upstream.usage().probe_in_flight.set(false);
    let now = clock::now();
    let reading = answered.and_then(|response| {
        step.set(ProbeStep::Unreadable);
        context.reach.record_contact(&upstream.server.service);
        server_signals::apply_probe_answer(context, upstream, &response);
        let headers = &response.head.headers;
        limits::apply_header(
            context,
            &upstream.server.name,
            headers,
            limits::AnswerKind::Other,
        );
        let load = response.head.headers.get(context.wire_names.load);
        let reading = load.and_then(context.wire_names.parse_load)?;
        Some((reading, cold_servers::parse_header(context, headers)))
    });
    match reading {
        Some((reading, cold_for)) => {
            context.metrics.count_probe("answered");
            cold_servers::apply_probe_answer(context, upstream, cold_for, started_at);
            upstream.record_load_report(now, reading, ReportSource::Own);
            if upstream.near {
                let took = now.saturating_duration_since(started_at);
                context.record_near_probe(&upstream.server.service, &reading, took);
            }
            load_reports::share_report(context, &upstream.server.name, reading, Some(cold_for));
        }
        None if matches!(step.get(), ProbeStep::NoConnection) => {
            context.metrics.count_probe("no_connection");
        }
        None => {
            context.metrics.count_probe("failed");
            upstream.probe_failed(now, step.get(), now.saturating_duration_since(started_at));
            tracing::debug!(event = "probe_failed", server = %upstream.server.name);
        }
    }
    context.load_report_received.notify_waiters();
}

async fn exchange(
    context: &Rc<Context>,
    upstream: &Upstream,
    request: &[u8],
    step: &Cell<ProbeStep>,
) -> Option<Response> {
    let is_pooled = upstream.has_idle_connection();
    let mut connection = match reach::connect(context, upstream).await {
        Ok(connection) => connection,
        Err(ConnectError::ShareInUse) => {
            step.set(ProbeStep::NoConnection);
            return None;
        }
        Err(ConnectError::Io(_)) => return None,
    };
    step.set(if is_pooled {
        ProbeStep::Pooled
    } else {
        ProbeStep::New
    });
    connection.send(request).await.ok()?;
    let awaited = AwaitedAnswer {
        method: "GET",
        request_id: None,
        max_bytes: MAX_PROBE_RESPONSE_BYTES,
        sender: &upstream.server.name,
    };
    let received = own_answer::receive(context, &mut connection, awaited).await;
    let response = received.ok()?;
    upstream.release(connection);
    Some(response)
}

fn request(upstream: &Upstream, health_path: &RequestPath) -> Vec<u8> {
    let mut out = Vec::with_capacity(96);
    out.extend_from_slice(format!("GET {} HTTP/1.1\r\n", health_path.as_str()).as_bytes());
    write_header(
        &mut out,
        "Host",
        upstream.server.address.to_string().as_bytes(),
    );
    out.extend_from_slice(b"\r\n");
    out
}
