//! The caller edge: one thread that accepts connections and passes whole requests on.

mod body;
mod reply;
mod reply_body;

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::TrySendError;
use futures::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use kingcuploft::dispatcher::Arrival;
use kingcuploft::manifest::routing::Route;
use kingcuploft::world::contract::Contract;
use kingcuploft::world::ids::{Caller, RequestId};
use kingcuploft::world::refusal::{Refusal, RefusalReason};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::hop_by_hop::end_to_end;
use crate::message::{Message, Reply, RequestParts};
use crate::shared::Shared;
use reply_body::ReplyBody;

/// The longest headers of one request, in bytes.
const HEADERS_BYTES: usize = 32 * 1024;

/// The most headers of one request.
const HEADERS: usize = 64;

/// How long an idle connection stays open after the door closed.
const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// Runs the duty until the daemon ends.
///
/// # Panics
///
/// Panics where the system gives no event queue at start.
pub fn run(shared: &Arc<Shared>, listener: TcpListener) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event queue at start");
    LocalSet::new().block_on(&runtime, serve(shared, listener));
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listening socket");
    let permits = Arc::new(Semaphore::new(shared.settings.limits.connections));
    let mut connections = JoinSet::new();
    let mut closing = shared.closing();
    let until = loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, peer)) = accepted {
                    open(shared, &permits, &mut connections, stream, peer);
                }
            }
            Some(_) = connections.join_next() => {}
            until = closed(&mut closing) => break until,
        }
    };
    // Connections that the system took before the door closed are served too.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        open(shared, &permits, &mut connections, stream, peer);
    }
    drop(listener);
    finish(shared, connections, until).await;
}

/// Waits until the door closes; returns until when requests may go on.
async fn closed(closing: &mut watch::Receiver<Option<Instant>>) -> Instant {
    let until = closing.wait_for(Option::is_some).await;
    until
        .ok()
        .and_then(|until| *until)
        .unwrap_or_else(Instant::now)
}

/// Waits for the open connections to end; cuts what is left at the bound.
async fn finish(shared: &Shared, mut connections: JoinSet<()>, until: Instant) {
    let all = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout_at(until.into(), all).await.is_err() {
        let left = connections.len();
        shared.metrics.cut_by_stop.inc_by(left as u64);
        tracing::warn!("caller: {left} connections were cut at the bound of the stop.");
    }
}

/// Serves a new connection, if there is room for one.
fn open(
    shared: &Arc<Shared>,
    permits: &Arc<Semaphore>,
    connections: &mut JoinSet<()>,
    stream: tokio::net::TcpStream,
    peer: SocketAddr,
) {
    let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
        shared.metrics.refused(RefusalReason::Overloaded);
        return;
    };
    drop(stream.set_nodelay(true));
    let shared = Arc::clone(shared);
    connections.spawn_local(async move {
        connection(shared, stream, peer).await;
        drop(permit);
    });
}

async fn connection(shared: Arc<Shared>, stream: tokio::net::TcpStream, peer: SocketAddr) {
    let header_timeout = Duration::from_millis(shared.settings.limits.header_timeout_ms);
    let mut closing = shared.closing();
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(&shared, request, peer).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEADERS_BYTES)
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        _ = closed(&mut closing) => {
            // A request that was on its way when the door closed is still read and answered.
            match tokio::time::timeout(CLOSE_GRACE, served.as_mut()).await {
                Ok(ended) => ended,
                Err(_) => {
                    served.as_mut().graceful_shutdown();
                    served.await
                }
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!("caller: a connection ended: {error}.");
    }
}

async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ReplyBody> {
    let id = shared.next_request();
    let head_only = request.method() == Method::HEAD;
    let reply = match admit(shared, id, request, peer).await {
        Ok(reply) => reply,
        Err(refusal) => Reply::Refused(refusal),
    };
    if let Reply::Refused(refusal) = &reply {
        shared.metrics.refused(refusal.reason);
    }
    reply::response(shared, id, head_only, reply)
}

/// Reads a request whole, passes it on and waits for its reply.
async fn admit(
    shared: &Arc<Shared>,
    id: RequestId,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Reply, Refusal> {
    let arrived = Instant::now();
    if shared.accepted.load().generation == 0 {
        return Err(Refusal::not_run(RefusalReason::NotReady));
    }
    let (head, incoming) = request.into_parts();
    let host = head.headers.get("host").and_then(|host| host.to_str().ok());
    let routes = shared.routes.load();
    let route = routes
        .route(
            host.unwrap_or_default(),
            head.method.as_str(),
            head.uri.path(),
        )
        .map_err(Refusal::not_run)?;
    drop(routes);
    let key = key(&route, &head.headers)?;
    let caller = caller(&route, &head.headers, peer);
    let deadline = arrived + deadline(&route, &head.headers);
    let body = body::read(shared, &route, incoming).await?;
    let parts = RequestParts {
        method: head.method,
        uri: head.uri,
        headers: end_to_end(head.headers),
        body,
    };
    let arrival = Arrival {
        request: id,
        route,
        caller,
        key,
        arrived,
        deadline,
    };
    let (sender, receiver) = oneshot::channel();
    let message = Message::Arrived {
        arrival,
        parts: Box::new(parts),
        reply: sender,
    };
    let mut left = CallerLeft {
        shared: Some(Arc::clone(shared)),
        id,
    };
    match shared.dispatch.try_send(message) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            left.shared = None;
            return Err(Refusal::not_run(RefusalReason::Overloaded));
        }
    }
    let reply = receiver.await;
    left.shared = None;
    reply.map_err(|_| Refusal::unknown(RefusalReason::ShuttingDown))
}

/// Tells the dispatch duty that a caller went away: the HTTP library drops the waiting future
/// when the connection closes.
struct CallerLeft {
    shared: Option<Arc<Shared>>,
    id: RequestId,
}

impl Drop for CallerLeft {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.take() {
            drop(shared.dispatch.try_send(Message::CallerLeft(self.id)));
        }
    }
}

fn key(route: &Route, headers: &http::HeaderMap) -> Result<Option<std::sync::Arc<str>>, Refusal> {
    let rule = route.rule();
    if rule.contract == Contract::RetryFreely {
        return Ok(None);
    }
    match headers.get(&rule.idempotency.header) {
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= 256 => Ok(Some(key.into())),
            _ => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        },
        None if rule.idempotency.required => Err(Refusal::not_run(RefusalReason::KeyMissing)),
        None => Ok(None),
    }
}

fn caller(route: &Route, headers: &http::HeaderMap, peer: SocketAddr) -> Caller {
    let named = route.service.caller_header.as_ref();
    let named = named.and_then(|name| headers.get(name)?.to_str().ok());
    named.map_or_else(|| peer.ip().to_string().into(), Into::into)
}

/// Returns the caller's deadline, capped by the rule's.
fn deadline(route: &Route, headers: &http::HeaderMap) -> Duration {
    let rule = route.rule().deadline();
    let asked = headers.get("x-deadline-ms");
    let asked = asked.and_then(|value| value.to_str().ok()?.parse().ok());
    asked.map_or(rule, |ms| Duration::from_millis(ms).min(rule))
}
