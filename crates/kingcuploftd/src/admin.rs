//! The admin port: readiness, liveness, metrics, status and fleet pages for the platform and operators.

use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, WWW_AUTHENTICATE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;

use crate::admin_token::AdminToken;
use crate::shared::Shared;
use crate::{admin_fleet, explain, status};

/// How often the accept loop checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The most connections at once; one client needs one connection.
const MAX_CONNECTIONS: usize = 256;

/// The timeout for a request head, and for an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the admin thread until the daemon ends.
///
/// # Panics
///
/// Panics where the system gives no event queue at start.
pub fn run(shared: &Arc<Shared>, listener: TcpListener) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event queue at start");
    tokio::task::LocalSet::new().block_on(&runtime, serve(shared, listener));
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listening socket");
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let token = shared.settings.admin_token_file.clone();
    let token = token.map(AdminToken::new).map(Rc::new);
    while !shared.ended() {
        let accepted = tokio::time::timeout(STOP_CHECK_INTERVAL, listener.accept()).await;
        let stream = match accepted {
            Ok(Ok((stream, _))) => stream,
            Ok(Err(_)) => {
                tokio::time::sleep(STOP_CHECK_INTERVAL).await;
                continue;
            }
            Err(_) => continue,
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let (shared, token) = (Arc::clone(shared), token.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let (shared, token) = (Arc::clone(&shared), token.clone());
                async move { Ok::<_, Infallible>(authorize(&shared, token.as_deref(), request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
            drop(slot);
        });
    }
}

/// Answers an authorized request. The two health pages that the platform's balancer reads need no token: they reveal
/// only one bit.
async fn authorize(
    shared: &Shared,
    token: Option<&AdminToken>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_public = matches!(request.uri().path(), "/live" | "/ready");
    if is_public || token.is_none_or(|token| token.is_valid(request.headers())) {
        return answer(shared, request).await;
    }
    let mut response = Response::new(Full::new(Bytes::from("a bearer token is needed\n")));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let bearer = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, bearer);
    response
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        path if path.starts_with(admin_fleet::PREFIX) => admin_fleet::answer(shared, request).await,
        "/explain" => explain::answer(shared, request.uri().query().unwrap_or_default()).await,
        "/live" => (StatusCode::OK, "live\n".into()),
        "/ready" if shared.ready() => (StatusCode::OK, "ready\n".into()),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => (StatusCode::OK, shared.metrics.text()),
        "/status" => (StatusCode::OK, status::text(shared)),
        _ => (StatusCode::NOT_FOUND, "no such page\n".into()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
