//! Connections to one address that are kept between calls, one for each purpose: a call that waits keeps its own busy.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::utils::HashMap;

use super::client::{Connection, LastArrival, ReceiveError, Response, SendError};
use super::headers::write_header;
use super::target::Target;
use crate::network::Tcp;

/// Names what a connection is for.
pub type Purpose = &'static str;

/// Connections to one address.
#[derive(Debug)]
pub struct KeptConnections {
    address: SocketAddr,
    max_idle: Duration,
    idle: RefCell<HashMap<Purpose, Connection>>,
    last_arrivals: RefCell<HashMap<Purpose, LastArrival>>,
}

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("{0}")]
    NotOpened(#[from] io::Error),
    /// The request could not be sent.
    #[error("{0}")]
    NotSent(#[from] SendError),
    /// No answer could be read.
    #[error("{0}")]
    NotReceived(#[from] ReceiveError),
}

impl KeptConnections {
    /// Creates connections to this address, which are kept idle for so long.
    pub fn new(address: SocketAddr, max_idle: Duration) -> Self {
        Self {
            address,
            max_idle,
            idle: RefCell::default(),
            last_arrivals: RefCell::default(),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes of a request to the address, with a body of JSON if there is one.
    pub fn request(&self, method: &str, target: &Target, json: Option<&str>) -> Vec<u8> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        write_header(&mut out, "Host", self.address.to_string().as_bytes());
        if let Some(json) = json {
            write_header(&mut out, "Content-Type", b"application/json");
            write_header(
                &mut out,
                "Content-Length",
                json.len().to_string().as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(json.unwrap_or_default().as_bytes());
        out
    }

    /// Returns when bytes of an answer last arrived on the connection for this purpose.
    pub fn last_arrival_at(&self, purpose: Purpose) -> Option<Instant> {
        let arrivals = self.last_arrivals.borrow();
        arrivals.get(purpose).and_then(|arrival| arrival.get())
    }

    /// Sends a request and returns its answer, of which the body has so many bytes at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if what it brings is no answer.
    pub async fn exchange(
        &self,
        purpose: Purpose,
        method: &str,
        request: &[u8],
        max_body_bytes: usize,
    ) -> Result<Response, CallError> {
        let idle = self.idle.borrow_mut().remove(purpose);
        let idle = idle.and_then(|mut connection| {
            let usable = connection.is_reusable(Instant::now(), self.max_idle);
            usable.then_some(connection)
        });
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(&Tcp, self.address).await?,
        };
        connection.track_arrivals(self.last_arrivals.borrow_mut().entry(purpose).or_default());
        connection.send(request).await?;
        let response = connection.receive(method, max_body_bytes).await?;
        self.idle.borrow_mut().insert(purpose, connection);
        Ok(response)
    }
}
