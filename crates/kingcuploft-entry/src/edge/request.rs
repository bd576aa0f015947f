//! A request of a caller, read completely.

use std::cell::OnceCell;
use std::time::{Duration, Instant};

use kingcuploft::entry::fingerprint::{Fingerprint, RequestIdentity};
use kingcuploft::world::ids::WorkspaceName;

use super::caller_key::KEY_HEADER;
use super::memory_account::Reservation;
use crate::clock;
use crate::http::head::RequestHead;
use crate::relay::wire::RelayedRequest;
use crate::settings::WireNames;

/// The header that identifies a caller, beside its key.
const SESSION_HEADER: &str = "cookie";

/// By whom a request comes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity {
    /// Keys are not used: the headers are forwarded as they came.
    Unchecked,
    /// The workspace, or none on a public route. The key does not leave this VM.
    Checked(Option<WorkspaceName>),
}

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The request id that the caller gave this attempt, as it came.
    pub id_bytes: Option<Vec<u8>>,
    /// The same as text, for logs.
    pub id: Option<String>,
    /// Its request line and headers.
    pub head: RequestHead,
    /// The bytes of its body.
    pub body: Vec<u8>,
    /// What the VM that passed it here tells of it; `None` for a request that came from its caller.
    pub relayed: Option<RelayedRequest>,
    /// The memory that is reserved for its body.
    _reservation: Reservation,
    /// When its last byte was read.
    pub arrived: Instant,
    fingerprint: OnceCell<Fingerprint>,
    identity: OnceCell<CallerIdentity>,
}

impl Request {
    /// Builds a request whose last byte has just been read.
    pub fn new(
        head: RequestHead,
        body: Vec<u8>,
        reservation: Reservation,
        wire_names: &WireNames,
        relayed: Option<RelayedRequest>,
    ) -> Self {
        let id = head.headers.get_bytes(wire_names.request_id);
        Self {
            relayed,
            id: id.map(|id| String::from_utf8_lossy(id).into_owned()),
            id_bytes: id.map(<[u8]>::to_vec),
            head,
            body,
            _reservation: reservation,
            arrived: clock::now(),
            fingerprint: OnceCell::new(),
            identity: OnceCell::new(),
        }
    }

    /// Records by whom the request comes, once it is known.
    pub fn identify(&self, identity: CallerIdentity) {
        let _ = self.identity.set(identity);
    }

    /// Returns by whom the request comes.
    pub fn identity(&self) -> &CallerIdentity {
        self.identity.get().unwrap_or(&CallerIdentity::Unchecked)
    }

    /// Returns what tells the request's caller from others: its workspace, or what it sent where keys are not used.
    fn caller(&self) -> Option<&str> {
        match self.identity() {
            CallerIdentity::Unchecked => self.head.headers.get(KEY_HEADER),
            CallerIdentity::Checked(workspace) => workspace.as_deref(),
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
                caller: [self.caller(), headers.get(SESSION_HEADER)],
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
        valid.then(|| Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX))
    }
}
