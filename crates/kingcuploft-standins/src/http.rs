//! A small HTTP server for the stand-ins: one runtime, ended when dropped.

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

/// A request with its whole body.
pub type WholeRequest = Request<Bytes>;

/// A response with its whole body.
pub type WholeResponse = Response<Full<Bytes>>;

/// Marks a response that is not sent: the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct Closed;

/// The error that makes the HTTP library close a connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("closed without an answer")]
struct ClosedWithoutAnswer;

/// Returns the response that closes the connection without an answer.
pub fn close_without_answer() -> WholeResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    response.extensions_mut().insert(Closed);
    response
}

/// Answers the requests of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: WholeRequest) -> impl Future<Output = WholeResponse> + Send;
}

/// A listening stand-in.
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
    /// The system's error where no port is to be had.
    pub fn start<H: Handler>(runtime: &Runtime, handler: Arc<H>) -> std::io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let accept = runtime.spawn(accept(listener, handler)).abort_handle();
        Ok(Self { address, accept })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
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
    match response.extensions().get::<Closed>() {
        Some(Closed) => Err(ClosedWithoutAnswer),
        None => Ok(response),
    }
}
