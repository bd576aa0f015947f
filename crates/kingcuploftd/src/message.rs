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

/// A request's HTTP parts, kept until the request is answered.
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

/// A backend server's answer: complete, or its beginning and the channel with the rest.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body, or its beginning if there is a rest.
    pub body: Bytes,
    /// The rest of a body that is longer than the rule's `whole_answer_bytes`.
    pub rest: Option<RemainingBody>,
}

/// What the caller edge sends to its caller.
#[derive(Debug)]
pub enum Reply {
    /// A backend server's answer, or the recorded answer of an earlier request.
    Answer(Answer),
    /// The balancer's own answer.
    Refused(Refusal),
}

/// A message from another thread to the dispatch thread.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    RequestArrived {
        /// What the dispatcher needs to know.
        arrival: Arrival,
        /// Its HTTP parts.
        parts: Box<RequestParts>,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// The caller of a request disconnected.
    CallerDisconnected(RequestId),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        report: CallReport,
        /// The answer, if there is one.
        answer: Option<Box<Answer>>,
    },
    /// A claim was granted or refused.
    Claimed {
        /// The request.
        request: RequestId,
        /// The claim's result.
        result: ClaimResult,
        /// The recorded answer, if the result is a replay.
        recorded: Option<Box<Answer>>,
    },
    /// A newer manifest is active.
    ManifestAdopted(AcceptedManifest),
    /// A peer sent load notes on backend servers that became full or free.
    NotesReceived(PeerNotes),
    /// A backend server is draining.
    ServerDraining(ServiceName, BackendServerName),
    /// A probe succeeded or failed.
    Probed(ProbeResult),
    /// An operator asks for the explanations of decisions.
    Explain(Query, oneshot::Sender<Vec<Explanation>>),
    /// Finish the requests in flight until this time, then end.
    Stop(Instant),
}

/// A call for the backend edge.
#[derive(Debug)]
pub struct CallTask {
    /// The backend server's address, the attempt and the deadline.
    pub call: Call,
    /// The request to send.
    pub parts: RequestParts,
}

/// A task for the claims thread.
#[derive(Debug)]
pub enum ClaimTask {
    /// Claim an idempotency key before the request is sent.
    Claim {
        /// The request.
        request: RequestId,
        /// The hash of the service and the caller's idempotency key.
        key: KeyHash,
        /// A hash of the request's content, to detect a key that is reused for another request.
        fingerprint: Fingerprint,
        /// The request's deadline.
        deadline: Instant,
        /// How long the key is remembered.
        window: Duration,
        /// The longest answer that is recorded, in bytes.
        record_bytes: u64,
    },
    /// Release a claim whose request was not sent.
    Release {
        /// The request.
        request: RequestId,
    },
    /// Record the outcome of a protected request.
    Acknowledge {
        /// The request.
        request: RequestId,
        /// The answer; `None` if the outcome is unknown.
        answer: Option<Box<Answer>>,
    },
}
