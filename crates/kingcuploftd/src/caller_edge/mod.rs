//! The caller edge: one thread that accepts callers' connections, reads whole requests, checks and routes them, and
//! passes them to the dispatch thread.
//!
//! Failure: slow callers, floods of connections and malformed requests. Timeouts close slow connections, a limit bounds
//! the open ones, and a request with more than one reading is refused before it reaches a backend server.

mod activity;
mod body;
mod headers;
pub mod inspector;
mod overload;
mod reply;
mod reply_body;

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::TrySendError;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use kingcuploft::dispatcher::Arrival;
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::refusal::{Refusal, RefusalReason};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::decision_log::DecisionKind;
use crate::hop_by_hop::end_to_end;
use crate::message::{Message, Reply, RequestParts};
use crate::shared::Shared;
use activity::{Activity, WatchedStream};
use headers::{caller, deadline, key};
use inspector::Verdict;
use reply_body::ReplyBody;

/// The longest host that the decision log keeps, in characters.
const MAX_HOST_CHARS: usize = 64;

/// The longest headers of one request, in bytes.
const MAX_HEADERS_BYTES: usize = 32 * 1024;

/// The most headers of one request.
const MAX_HEADERS: usize = 64;

/// The most bytes that the HTTP library buffers for one connection.
const MAX_BUFFER_BYTES: usize = 128 * 1024;

/// The delay before accepting again after the system refused a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long an idle connection stays open after the daemon stops accepting: a request that is already on its way still
/// arrives.
const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// Runs the caller edge until the daemon ends.
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
    let mut acceptor = Acceptor::new(shared);
    let mut closing = shared.closing();
    let until = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => acceptor.open(stream, peer),
                Err(error) => pause_accepting(shared, &error).await,
            },
            Some(_) = acceptor.connections.join_next() => {}
            until = wait_for_close(&mut closing) => break until,
        }
    };
    accept_backlog(listener, &mut acceptor);
    finish(shared, acceptor.connections, until).await;
}

/// Accepts the connections that wait in the socket's backlog, then closes the socket.
///
/// The socket is read directly and not through the event queue: on a busy machine a connection can wait in the backlog
/// before its event is seen. Closing the socket would reset that connection and lose its request.
fn accept_backlog(listener: tokio::net::TcpListener, acceptor: &mut Acceptor) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, peer)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            acceptor.open(stream, peer);
        }
    }
}

/// Pauses after a connection could not be accepted. When the system has no file descriptors left, accepting again at
/// once would keep the thread from serving the connections that are open.
async fn pause_accepting(shared: &Shared, error: &std::io::Error) {
    shared.metrics.accept_errors.inc();
    tracing::warn!("caller: cannot accept a connection: {error}.");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Waits until the daemon stops accepting; returns until when requests in flight may continue.
async fn wait_for_close(closing: &mut watch::Receiver<Option<Instant>>) -> Instant {
    let until = closing.wait_for(Option::is_some).await;
    until
        .ok()
        .and_then(|until| *until)
        .unwrap_or_else(Instant::now)
}

/// Waits for the open connections to end; closes those that are left at the stop timeout.
async fn finish(shared: &Shared, mut connections: JoinSet<()>, until: Instant) {
    let all = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout_at(until.into(), all).await.is_err() {
        let left = connections.len();
        shared.metrics.cut_by_stop.inc_by(left as u64);
        tracing::warn!("caller: {left} connections were closed at the stop timeout.");
    }
}

/// The open connections and the free slots for more.
struct Acceptor {
    shared: Arc<Shared>,
    connections: JoinSet<()>,
    slots: Arc<Semaphore>,
    refusal_slots: Arc<Semaphore>,
}

impl Acceptor {
    fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            connections: JoinSet::new(),
            slots: Arc::new(Semaphore::new(shared.settings.limits.connections)),
            refusal_slots: Arc::new(Semaphore::new(overload::MAX_CONCURRENT_REFUSALS)),
        }
    }

    /// Serves a new connection, or answers 503 when every slot is in use.
    fn open(&mut self, stream: TcpStream, peer: SocketAddr) {
        drop(stream.set_nodelay(true));
        let shared = Arc::clone(&self.shared);
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            self.connections.spawn_local(async move {
                serve_connection(shared, stream, peer).await;
                drop(slot);
            });
            return;
        }
        shared.metrics.count_refusal(RefusalReason::Overloaded);
        shared.metrics.connections_refused.inc();
        if let Ok(slot) = Arc::clone(&self.refusal_slots).try_acquire_owned() {
            self.connections.spawn_local(async move {
                overload::refuse(shared, stream).await;
                drop(slot);
            });
        }
    }
}

/// Serves one connection until the caller closes it, a timeout ends it or the daemon stops accepting.
async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
    let limits = &shared.settings.limits;
    let activity = Activity::new(MAX_HEADERS_BYTES);
    let mut closing = shared.closing();
    let service = service_fn(|request| {
        let (shared, activity) = (Arc::clone(&shared), Rc::clone(&activity));
        async move { Ok::<_, Infallible>(answer(&shared, &activity, request, peer).await) }
    });
    let stream = WatchedStream::new(stream, Rc::clone(&activity));
    let serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        slow = activity.wait_until_overdue(limits) => {
            if slow {
                shared.metrics.slow_callers.inc();
            }
            return;
        }
        _ = wait_for_close(&mut closing) => {
            // A request that was on its way when the daemon stopped accepting is still read and answered.
            match tokio::time::timeout(CLOSE_GRACE, serving.as_mut()).await {
                Ok(ended) => ended,
                Err(_) => {
                    serving.as_mut().graceful_shutdown();
                    serving.await
                }
            }
        }
    };
    if let Err(error) = ended {
        if error.is_parse() {
            // The HTTP library has answered 400 or 431 by itself.
            shared.metrics.count_refusal(RefusalReason::BadRequest);
        }
        tracing::debug!("caller: a connection ended: {error}.");
    }
}

async fn answer(
    shared: &Arc<Shared>,
    activity: &Rc<Activity>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ReplyBody> {
    let (busy, verdict) = activity.begin_request();
    let id = shared.next_request();
    let head_only = request.method() == Method::HEAD;
    let summary = RequestSummary::new(&request);
    let admitted = match check_head(verdict, request.uri()) {
        Ok(()) => admit(shared, id, request, peer).await,
        Err(refusal) => Err(refusal),
    };
    let reply = admitted.unwrap_or_else(Reply::Refused);
    if let Reply::Refused(refusal) = &reply {
        shared.metrics.count_refusal(refusal.reason);
        record_refusal(shared, id, &summary, refusal);
    }
    reply::response(shared, id, head_only, reply).map(|body| body.until_written(busy))
}

/// Refuses a request whose head is ambiguous or too long. A request target with an authority names a second host
/// besides the header and is ambiguous as well.
fn check_head(verdict: Verdict, uri: &Uri) -> Result<(), Refusal> {
    match verdict {
        Verdict::TooLarge => Err(Refusal::not_run(RefusalReason::HeadersTooLarge)),
        Verdict::Ambiguous => Err(Refusal::not_run(RefusalReason::BadRequest)),
        Verdict::Valid if uri.authority().is_some() => {
            Err(Refusal::not_run(RefusalReason::BadRequest))
        }
        Verdict::Valid => Ok(()),
    }
}

/// What the decision log keeps of a request: no path, query or header, which may hold a caller's secrets.
struct RequestSummary {
    method: String,
    host: String,
}

impl RequestSummary {
    fn new<T>(request: &Request<T>) -> Self {
        let host = request.headers().get("host");
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        Self {
            method: request.method().to_string(),
            host: host.chars().take(MAX_HOST_CHARS).collect(),
        }
    }
}

/// Writes a refusal to the decision log.
fn record_refusal(shared: &Shared, id: RequestId, summary: &RequestSummary, refusal: &Refusal) {
    let routes = shared.routes.load();
    let service = routes.service(&summary.host);
    let service = service.map_or("", |service| &service.name);
    let retry_after = refusal
        .retry_after
        .map_or("never".into(), |after| format!("{after:?}"));
    let inputs = format!(
        "{} {}, {}, ask again: {retry_after}",
        summary.method,
        summary.host,
        refusal.outcome.label()
    );
    let request = shared.request_name(id);
    let reason = refusal.reason.label();
    let decisions = &shared.decisions;
    decisions.record(DecisionKind::Refused, reason, service, &request, inputs);
}

/// Reads a whole request, passes it to the dispatch thread and waits for its reply.
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
    let deadline = arrived + deadline(&route, &head.headers)?;
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
    let message = Message::RequestArrived {
        arrival,
        parts: Box::new(parts),
        reply: sender,
    };
    let mut disconnect = DisconnectNotifier {
        shared: Some(Arc::clone(shared)),
        id,
    };
    match shared.dispatch.try_send(message) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            disconnect.shared = None;
            return Err(Refusal::not_run(RefusalReason::Overloaded));
        }
    }
    let reply = receiver.await;
    disconnect.shared = None;
    reply.map_err(|_| Refusal::unknown(RefusalReason::ShuttingDown))
}

/// Reports a caller's disconnect to the dispatch thread when dropped: the HTTP library drops the waiting future when
/// the connection closes.
struct DisconnectNotifier {
    shared: Option<Arc<Shared>>,
    id: RequestId,
}

impl Drop for DisconnectNotifier {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.take() {
            drop(
                shared
                    .dispatch
                    .try_send(Message::CallerDisconnected(self.id)),
            );
        }
    }
}
