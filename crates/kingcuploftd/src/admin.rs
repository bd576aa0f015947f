//! The admin duty: readiness, liveness, metrics and status for the platform and operators.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::shared::Shared;
use crate::{admin_fleet, status};

/// How often the accept loop looks whether to stop.
const STOP_POLL: Duration = Duration::from_millis(20);

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
    tokio::task::LocalSet::new().block_on(&runtime, serve(shared, listener));
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listening socket");
    while !shared.ended() {
        let accepted = tokio::time::timeout(STOP_POLL, listener.accept()).await;
        let Ok(Ok((stream, _))) = accepted else {
            continue;
        };
        let shared = Arc::clone(shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(answer(&shared, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
        });
    }
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        path if path.starts_with(admin_fleet::PREFIX) => admin_fleet::answer(shared, request).await,
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
