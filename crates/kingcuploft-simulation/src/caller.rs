//! Callers: each sends a request, may retry it once, and records the outcome of each attempt.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::world::contract::Contract;
use kingcuploft_entry::http::client::{Connection, Response};
use tokio::time::Instant;

use crate::deployment::RequestKind;
use crate::header_names::HEADER_NAMES;
use crate::history::{
    Completion, History, KindIndex, LeavingAnswer, Outcome, Request, VmIndex, is_idempotent,
};
use crate::network::Host;
use crate::server::{DEADLY_PATH, answer_body};
use crate::vm::Vm;

/// The greatest size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// How long after its deadline a caller still records an answer.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(20);

/// How many attempts a caller makes at most.
const MAX_ATTEMPTS: u32 = 2;

/// The outcome of one attempt.
struct AttemptResult {
    outcome: Outcome,
    /// The pause before a retry that the answer asked for.
    retry_after: Option<Duration>,
    /// Whether the request was handed to a VM.
    was_sent: bool,
}

/// One caller with one request.
pub struct Caller {
    /// The host that it sends from.
    pub host: Rc<Host>,
    /// Where it records its requests and their outcomes.
    pub history: Rc<History>,
    /// The index of the request's kind.
    pub kind: KindIndex,
    /// The kind itself.
    pub request_kind: RequestKind,
    /// Whether the request crashes the server that runs it.
    pub is_deadly: bool,
    /// The key that it bears, if callers need one.
    pub key: Option<CallerKey>,
}

/// The key of a caller.
#[derive(Clone, Debug)]
pub struct CallerKey {
    /// The index of its workspace.
    pub workspace: usize,
    /// Its generation.
    pub generation: u64,
    /// The key itself.
    pub key: String,
}

impl Caller {
    /// Sends the request and retries it once where that is allowed; `vm_for` returns the VM that each attempt reaches.
    pub async fn send(self, vm_for: impl Fn(u32) -> Option<Rc<Vm>>) {
        let deadline = Instant::now() + Duration::from_millis(self.request_kind.deadline_ms);
        for attempt in 0..MAX_ATTEMPTS {
            let Some(vm) = vm_for(attempt) else {
                return;
            };
            let result = self.attempt(&vm, deadline, attempt == 0).await;
            let may_run_again = is_idempotent(self.request_kind.contract);
            let should_retry = match result.outcome {
                Outcome::Complete | Outcome::Wrong | Outcome::Unauthorized => false,
                Outcome::NotRun => true,
                Outcome::Failed | Outcome::None => may_run_again || !result.was_sent,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !should_retry || left.is_zero() {
                return;
            }
            let pause = result.retry_after.unwrap_or_default().min(left / 3);
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(&self, vm: &Vm, deadline: Instant, is_first: bool) -> AttemptResult {
        let id = fastrand::u64(1..);
        self.history.requests.borrow_mut().push(Request {
            id,
            kind: self.kind,
            at: self.history.now(),
            vm: vm.index,
            workspace: self.key.as_ref().map(|key| key.workspace),
            key_generation: self.key.as_ref().map_or(0, |key| key.generation),
            is_first,
            is_deadly: self.is_deadly,
        });
        let result = tokio::time::timeout_at(
            deadline + LATE_ANSWER_GRACE,
            self.exchange(vm, id, deadline),
        )
        .await;
        let result = result.unwrap_or(AttemptResult {
            outcome: Outcome::None,
            retry_after: None,
            was_sent: true,
        });
        self.history.completions.borrow_mut().push(Completion {
            id,
            at: self.history.now(),
            outcome: result.outcome,
        });
        result
    }

    /// Records an answer in which a server says that it leaves.
    fn record_leaving(&self, vm: VmIndex, response: &Response) {
        let headers = &response.head.headers;
        let server = headers.get(HEADER_NAMES.signature).and_then(server_index);
        if let (Some(server), Some(_)) = (server, headers.get(HEADER_NAMES.leaving)) {
            let at = self.history.now();
            let answer = LeavingAnswer { vm, server, at };
            self.history.leaving_answers.borrow_mut().push(answer);
        }
    }

    async fn exchange(&self, vm: &Vm, id: u64, deadline: Instant) -> AttemptResult {
        let none = |was_sent| AttemptResult {
            outcome: Outcome::None,
            retry_after: None,
            was_sent,
        };
        let Ok(mut connection) = Connection::open(&*self.host, vm.caller_address).await else {
            return none(false);
        };
        let id = format!("{id:016x}");
        let left_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let method = match self.request_kind.contract {
            Contract::RetryFreely => "GET",
            Contract::AtMostOnce => "POST",
        };
        let name = &self.request_kind.name;
        let rest = if self.is_deadly { DEADLY_PATH } else { "x" };
        let key = self.key.as_ref();
        let key = key.map(|key| format!("Authorization: Bearer {}\r\n", key.key));
        let key = key.unwrap_or_default();
        let request = format!(
            "{method} /{name}/{rest} HTTP/1.1\r\nHost: a.example\r\nx-id: {id}\r\nx-deadline-ms: {left_ms}\r\n{key}Content-Length: 0\r\n\r\n"
        );
        if connection.send(request.as_bytes()).await.is_err() {
            return none(true);
        }
        match connection.receive(method, MAX_ANSWER_BYTES).await {
            Ok(response) => {
                self.record_leaving(vm.index, &response);
                classify(&response, &id)
            }
            Err(_) => none(true),
        }
    }
}

/// Returns the index of the server with this name.
fn server_index(name: &str) -> Option<usize> {
    name.strip_prefix('s')?.parse().ok()
}

fn classify(response: &Response, id: &str) -> AttemptResult {
    let headers = &response.head.headers;
    let is_own = headers.get("x-id").is_none_or(|echoed_id| echoed_id == id);
    let answer = match response.head.status {
        200..300 if is_own && response.body == answer_body(id).as_bytes() => Outcome::Complete,
        200..300 => Outcome::Wrong,
        429 | 503 | 408 | 421 => Outcome::NotRun,
        401 => Outcome::Unauthorized,
        _ => Outcome::Failed,
    };
    let seconds = headers.get("retry-after");
    let seconds = seconds.and_then(|seconds| seconds.parse::<f64>().ok());
    AttemptResult {
        outcome: answer,
        retry_after: seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()),
        was_sent: true,
    }
}
