//! Asking a server for its load.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::Upstream;
use crate::context::Context;
use crate::http::client::Response;
use crate::http::headers::write_header;
use crate::peers::readings;

/// How long a probe may take: the longest round trip of a region, many times over.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// The most bytes of a probe's answer.
const MOST_PROBE_BYTES: usize = 16 * 1024;

/// Asks a server for its load, unless its last reading is fresh, a probe is on its way, or it did
/// not answer lately.
pub fn ask(context: &Rc<Context>, upstream: &Rc<Upstream>, health_path: &str) {
    let now = Instant::now();
    let fresh = upstream.is_fresh(now, context.reading_life());
    if upstream.is_asked() || fresh || upstream.is_mute(now) {
        return;
    }
    if !upstream.has_room(context.connection_share(&upstream.server.service)) {
        context.metrics.probe("no_connection");
        return;
    }
    if !context.take_probe(now) {
        context.metrics.probe("no_budget");
        return;
    }
    upstream.asking.set(true);
    let (context, upstream) = (context.clone(), upstream.clone());
    let request = request(&upstream, health_path);
    tokio::task::spawn_local(async move {
        let asked = tokio::time::timeout(PROBE_TIMEOUT, exchange(&upstream, &request)).await;
        upstream.asking.set(false);
        let now = Instant::now();
        let reading = match asked {
            Ok(Some(response)) => {
                let load = response.head.headers.get(context.vocabulary.load);
                load.and_then(context.vocabulary.read_load)
            }
            Ok(None) | Err(_) => None,
        };
        match reading {
            Some(reading) => {
                context.metrics.probe("answered");
                upstream.told(now, reading);
                readings::tell(&context, &upstream.server.name, reading);
            }
            None => {
                context.metrics.probe("failed");
                upstream.probe_failed(now);
                tracing::debug!(event = "probe_failed", server = %upstream.server.name);
            }
        }
        context.readings.notify_waiters();
    });
}

async fn exchange(upstream: &Upstream, request: &[u8]) -> Option<Response> {
    let mut connection = upstream.connect().await.ok()?;
    connection.send(request).await.ok()?;
    let response = connection.receive("GET", MOST_PROBE_BYTES).await.ok()?;
    upstream.keep(connection);
    Some(response)
}

fn request(upstream: &Upstream, health_path: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(96);
    out.extend_from_slice(format!("GET {health_path} HTTP/1.1\r\n").as_bytes());
    write_header(
        &mut out,
        "Host",
        upstream.server.address.to_string().as_bytes(),
    );
    out.extend_from_slice(b"\r\n");
    out
}
