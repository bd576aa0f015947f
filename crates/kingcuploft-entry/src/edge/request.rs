//! A request as it was read.

use std::cell::OnceCell;
use std::time::{Duration, Instant};

use kingcuploft::entry::fingerprint::{Fingerprint, RequestIdentity};

use super::body_memory::BodyReservation;
use crate::clock;
use crate::http::head::RequestHead;
use crate::settings::WireNames;

/// The headers that name a request's caller.
const CALLER: [&str; 2] = ["authorization", "cookie"];

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// The memory that its body takes.
    _held: BodyReservation,
    /// When its last byte was read.
    pub arrived: Instant,
    fingerprint: OnceCell<Fingerprint>,
}

impl Request {
    /// Builds a request that has just been read.
    pub fn new(
        head: RequestHead,
        body: Vec<u8>,
        held: BodyReservation,
        vocabulary: &WireNames,
    ) -> Self {
        Self {
            id: head.headers.get(vocabulary.request_id).map(str::to_owned),
            head,
            body,
            _held: held,
            arrived: clock::now(),
            fingerprint: OnceCell::new(),
        }
    }

    /// Returns what tells the request when it comes again.
    pub fn fingerprint(&self) -> Fingerprint {
        let headers = &self.head.headers;
        *self.fingerprint.get_or_init(|| {
            let recurring = RequestIdentity {
                method: &self.head.method,
                host: headers.get("host").unwrap_or_default(),
                target: &self.head.target,
                caller: CALLER.map(|name| headers.get(name)),
                body: &self.body,
            };
            recurring.fingerprint()
        })
    }

    /// Returns how long the caller waits from the arrival on, if it says so.
    pub fn patience(&self, vocabulary: &WireNames) -> Option<Duration> {
        let value = self.head.headers.get(vocabulary.deadline_ms)?;
        let millis: f64 = value.parse().ok()?;
        let valid = millis.is_finite() && millis >= 0.0;
        valid.then(|| Duration::from_secs_f64(millis / 1000.0))
    }
}
