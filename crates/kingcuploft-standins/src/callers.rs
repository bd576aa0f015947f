//! An HTTP client for simulated callers, with a pool of keepalive connections for each address.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;

/// One call to make.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// The method.
    pub method: Method,
    /// The value of the `Host` header, which selects the service.
    pub host: String,
    /// The path.
    pub path: String,
    /// Headers besides the host.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// The result of a call, as the caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A complete answer of a backend server.
    Answer {
        /// The status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// A refusal by the load balancer.
    Refused {
        /// The status.
        status: u16,
        /// The value of the `x-kingcuploft-reason` header.
        reason: String,
        /// The value of the `x-kingcuploft-outcome` header.
        outcome: String,
    },
    /// No complete answer: the connection failed or the call timed out.
    NoAnswer,
}

/// The idle keepalive connections of all callers.
#[derive(Debug, Default)]
pub struct Callers {
    idle: Mutex<FxHashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

impl Callers {
    /// Sends a call and reads the complete answer, both within `timeout`.
    pub async fn call(&self, to: SocketAddr, plan: &CallPlan, timeout: Duration) -> CallResult {
        let called = tokio::time::timeout(timeout, self.exchange(to, plan)).await;
        called.ok().flatten().unwrap_or(CallResult::NoAnswer)
    }

    async fn exchange(&self, to: SocketAddr, plan: &CallPlan) -> Option<CallResult> {
        let mut connection = self.connection(to).await?;
        let mut request = Request::builder()
            .method(plan.method.clone())
            .uri(&plan.path)
            .header("host", &plan.host);
        for (name, value) in &plan.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(plan.body.clone())).ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if !head.headers.contains_key("connection") {
            self.return_idle(to, connection);
        }
        let status = head.status.as_u16();
        let header = |name| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        Some(match header("x-kingcuploft-reason") {
            None => CallResult::Answer { status, body },
            Some(reason) => CallResult::Refused {
                status,
                reason,
                outcome: header("x-kingcuploft-outcome").unwrap_or_default(),
            },
        })
    }

    async fn connection(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        while let Some(mut idle) = self.take_idle(to) {
            if idle.ready().await.is_ok() {
                return Some(idle);
            }
        }
        let stream = TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&to)?.pop()
    }

    fn return_idle(&self, to: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(to).or_default().push(connection);
    }
}
