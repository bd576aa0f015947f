//! The HTTP endpoint of the platform's readiness check and of the metrics.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::context::Context;
use crate::http::head;

/// How long a request to this endpoint may take to arrive and be answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The most bytes of a request head.
const MAX_REQUEST_BYTES: usize = 8 * 1024;

/// Answers requests until the process ends.
pub async fn serve(context: Rc<Context>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(REQUEST_TIMEOUT, answer(&context, stream)).await;
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Returns what the VM lacks to serve, one a line, for those who ask by hand.
fn what_is_missing(context: &Context) -> String {
    let missing = context.missing_to_serve();
    missing.map(|what| format!("missing: {what}\n")).collect()
}

/// Returns the collections of the store of which a VM that serves may lack entries, one a line.
fn what_is_incomplete(context: &Context) -> String {
    let incomplete = context.incomplete_collections().into_iter();
    let lines = incomplete.map(|collection| format!("incomplete: {}\n", collection.label()));
    lines.collect()
}

/// Answers one request.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn answer(
    context: &Context,
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(512);
    loop {
        match head::parse_request(&bytes) {
            Ok(Some((request, _))) => {
                let path = request.target.split('?').next().unwrap_or_default();
                let (status, body) = match path {
                    METRICS_PATH => ("200 OK", context.metrics_text()),
                    path if path != context.wire_names.ready_path => {
                        ("404 Not Found", String::new())
                    }
                    _ if context.is_ready() => ("200 OK", what_is_incomplete(context)),
                    _ => ("503 Service Unavailable", what_is_missing(context)),
                };
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
                );
                stream.write_all(answer.as_bytes()).await?;
                return stream.shutdown().await;
            }
            Ok(None) if bytes.len() < MAX_REQUEST_BYTES => {}
            Ok(None) | Err(_) => return Ok(()),
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
}
