//! A request of a caller, read completely.

use std::cell::OnceCell;
use std::time::{Duration, Instant};

use kingcuploft::entry::fingerprint::{Fingerprint, RequestIdentity};

use super::body_memory::BodyReservation;
use crate::clock;
use crate::http::head::RequestHead;
use crate::relay::wire::RelayedRequest;
use crate::settings::WireNames;

/// The headers that identify the caller of a request.
const CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The request id that the caller gave this attempt.
    pub id: Option<String>,
    /// Its request line and headers.
    pub head: RequestHead,
    /// The bytes of its body.
    pub body: Vec<u8>,
    /// What the VM that passed it here tells of it; `None` for a request that came from its caller.
    pub relayed: Option<RelayedRequest>,
    /// The memory that is reserved for its body.
    _reservation: BodyReservation,
    /// When its last byte was read.
    pub arrived: Instant,
    fingerprint: OnceCell<Fingerprint>,
}

impl Request {
    /// Builds a request whose last byte has just been read.
    pub fn new(
        head: RequestHead,
        body: Vec<u8>,
        reservation: BodyReservation,
        wire_names: &WireNames,
        relayed: Option<RelayedRequest>,
    ) -> Self {
        Self {
            relayed,
            id: head.headers.get(wire_names.request_id).map(str::to_owned),
            head,
            body,
            _reservation: reservation,
            arrived: clock::now(),
            fingerprint: OnceCell::new(),
        }
    }

    /// Returns the fingerprint by which the same request is recognized when it is sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        let headers = &self.head.headers;
        *self.fingerprint.get_or_init(|| {
            let recurring = RequestIdentity {
                method: &self.head.method,
                host: headers.get("host").unwrap_or_default(),
                target: &self.head.target,
                caller: CALLER_HEADERS.map(|name| headers.get(name)),
                body: &self.body,
            };
            recurring.fingerprint()
        })
    }

    /// Returns how long the caller waits after the request's arrival, if a header says so.
    pub fn caller_timeout(&self, wire_names: &WireNames) -> Option<Duration> {
        let value = self.head.headers.get(wire_names.deadline_ms)?;
        let millis: f64 = value.parse().ok()?;
        let valid = millis.is_finite() && millis >= 0.0;
        valid.then(|| Duration::from_secs_f64(millis / 1000.0))
    }
}
