//! The typed messages between the daemon's threads.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use kingcuploft::decisions::claim::ledger::{Fingerprint, KeyHash};
use kingcuploft::dispatcher::explain::{Explanation, Query};
use kingcuploft::dispatcher::{Arrival, Call, ClaimResult, PeerNotes, ProbeResult};
use kingcuploft::manifest::AcceptedManifest;
use kingcuploft::world::backend_server::CallReport;
use kingcuploft::world::ids::{AttemptId, BackendServerName, RequestId, ServiceName};
use kingcuploft::world::refusal::Refusal;
use tokio::sync::oneshot;

use crate::answer_stream::RemainingBody;

/// A request's HTTP parts, kept until it is answered.
#[derive(Clone, Debug)]
pub struct RequestParts {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A backend server's answer: whole, or its beginning and the ring with the rest.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The whole body, or its beginning where there is a rest.
    pub body: Bytes,
    /// The rest of a body that is longer than the rule's `whole_answer_bytes`.
    pub rest: Option<RemainingBody>,
}

/// What the caller edge sends to its caller.
#[derive(Debug)]
pub enum Reply {
    /// A backend server's answer, or the record of an earlier one.
    Answer(Answer),
    /// The system's own answer.
    Refused(Refusal),
}

/// What the other duties tell the dispatch duty.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    RequestArrived {
        /// What the decisions need to know.
        arrival: Arrival,
        /// Its HTTP parts.
        parts: Box<RequestParts>,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// The caller of a request went away.
    CallerDisconnected(RequestId),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// What it told.
        report: CallReport,
        /// The whole answer, where there is one.
        answer: Option<Box<Answer>>,
    },
    /// A claim was settled.
    Claimed {
        /// The request.
        request: RequestId,
        /// How.
        result: ClaimResult,
        /// The recorded answer, where the claim's end is a replay.
        recorded: Option<Box<Answer>>,
    },
    /// A newer manifest is known.
    ManifestAdopted(AcceptedManifest),
    /// A peer told of backend servers that turned full or free.
    NotesReceived(PeerNotes),
    /// A backend server drains.
    ServerDraining(ServiceName, BackendServerName),
    /// A probe came back, or failed.
    Probed(ProbeResult),
    /// An operator asks why.
    Explain(Query, oneshot::Sender<Vec<Explanation>>),
    /// Finish what is in flight until this time, then end.
    Stop(Instant),
}

/// A call for the backend edge.
#[derive(Debug)]
pub struct CallTask {
    /// Where, and until when.
    pub call: Call,
    /// What to send.
    pub parts: RequestParts,
}

/// Work for the claims duty.
#[derive(Debug)]
pub enum ClaimTask {
    /// Claim a key before anything is sent.
    Claim {
        /// The request.
        request: RequestId,
        /// The hash of the service and the caller's idempotency key.
        key: KeyHash,
        /// Tells this request's content from another's.
        fingerprint: Fingerprint,
        /// When the request's answer is due.
        deadline: Instant,
        /// How long the key is remembered.
        window: Duration,
        /// The longest answer that is recorded, in bytes.
        record_bytes: u64,
    },
    /// Give a claim back: nothing was sent.
    Release {
        /// The request.
        request: RequestId,
    },
    /// Record how a protected request ended.
    Acknowledge {
        /// The request.
        request: RequestId,
        /// The answer; `None` where the end is not known.
        answer: Option<Box<Answer>>,
    },
}
