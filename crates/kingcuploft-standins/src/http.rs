//! A small HTTP/1.1 server for the stand-ins. It stops accepting connections when it is dropped.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// A request with its complete body.
pub type WholeRequest = Request<Bytes>;

/// A response with its complete body.
pub type WholeResponse = Response<Full<Bytes>>;

/// Marks a response that is not sent; the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct CloseMarker;

/// The error by which a service makes the HTTP library close the connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("closed without an answer")]
struct ClosedWithoutAnswer;

/// Returns the response that closes the connection without an answer.
pub fn close_without_answer() -> WholeResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    response.extensions_mut().insert(CloseMarker);
    response
}

/// Answers the requests that a stand-in receives.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: WholeRequest) -> impl Future<Output = WholeResponse> + Send;
}

/// A listening HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept: tokio::task::AbortHandle,
}

impl Server {
    /// Listens on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is available.
    pub fn start<H: Handler>(runtime: &Runtime, handler: Arc<H>) -> std::io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let accept = runtime
            .spawn(accept_connections(listener, handler))
            .abort_handle();
        Ok(Self { address, accept })
    }

    /// Returns the address where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_connections<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        drop(stream.set_nodelay(true));
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|request| answer(Arc::clone(&handler), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
        });
    }
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<WholeResponse, ClosedWithoutAnswer> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_or_else(|_| Bytes::new(), |body| body.to_bytes());
    let response = handler.handle(Request::from_parts(head, body)).await;
    match response.extensions().get::<CloseMarker>() {
        Some(CloseMarker) => Err(ClosedWithoutAnswer),
        None => Ok(response),
    }
}
