//! Answers 503 on connections above the connection limit.
//!
//! Load pattern: more callers connect than the daemon serves. A connection that is closed without an answer looks like
//! a crash to its caller; an answer says that nothing ran and when to retry.

use std::sync::Arc;
use std::time::Duration;

use kingcuploft::world::refusal::{Refusal, RefusalReason};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::reply;
use crate::shared::Shared;

/// The most connections that are being answered with 503 at once; further ones are closed without an answer.
pub(super) const MAX_CONCURRENT_REFUSALS: usize = 256;

/// How long a refused caller may take to send its request and to read its answer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers the first request of a connection with 503 and closes it.
pub(super) async fn refuse(shared: Arc<Shared>, mut stream: TcpStream) {
    let refusal =
        Refusal::not_run(RefusalReason::Overloaded).retry_after(reply::OVERLOAD_RETRY_AFTER);
    let id = shared.request_name(shared.next_request());
    let body = reply::refusal_body(&id, &refusal);
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\nretry-after: 1\r\nx-kingcuploft-reason: {}\r\nx-kingcuploft-outcome: {}\r\nx-kingcuploft-retry-after-ms: {}\r\nx-request-id: {id}\r\n\r\n{body}",
        body.len(),
        refusal.reason.label(),
        refusal.outcome.label(),
        reply::OVERLOAD_RETRY_AFTER.as_millis(),
    );
    let mut request = [0; 4096];
    let exchange = async {
        // A client that receives an answer before it has sent its request may treat it as a protocol error.
        let read = stream.read(&mut request).await;
        if !read.is_ok_and(|read| read > 0) || stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        drop(stream.shutdown().await);
        // Closing with unread bytes would reset the connection before the caller has read the answer.
        while stream.read(&mut request).await.is_ok_and(|read| read > 0) {}
    };
    drop(tokio::time::timeout(REFUSAL_TIMEOUT, exchange).await);
}
