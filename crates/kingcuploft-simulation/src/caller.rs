//! Callers: each sends a request, may come back once, and notes what it got.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::world::contract::Contract;
use kingcuploft_entry::http::client::{Connection, Response};
use tokio::time::Instant;

use crate::deployment::Kind;
use crate::network::Host;
use crate::seen::{Answer, Answered, KindIndex, Request, Seen, may_repeat};
use crate::server::{DEADLY, body_of};
use crate::vm::Vm;

/// The most bytes of an answer.
const MOST_BYTES: usize = 1 << 20;

/// How long after its time a caller still notes an answer.
const LATE: Duration = Duration::from_millis(20);

/// How often a caller asks.
const TRIES: u32 = 2;

/// What became of one attempt.
struct Ended {
    answer: Answer,
    /// When the caller may come back, if it was told.
    come_back: Option<Duration>,
    /// Whether the request was handed to a VM.
    was_sent: bool,
}

/// One caller with one request.
pub struct Caller {
    /// Its link.
    pub host: Rc<Host>,
    /// What it notes.
    pub seen: Rc<Seen>,
    /// The kind of its request.
    pub kind: KindIndex,
    /// As `kind` says.
    pub of_kind: Kind,
    /// Whether servers end under it.
    pub is_deadly: bool,
}

impl Caller {
    /// Asks, and comes back once where that is allowed; `entry` tells which VM each attempt reaches.
    pub async fn ask(self, entry: impl Fn(u32) -> Option<Rc<Vm>>) {
        let until = Instant::now() + Duration::from_millis(self.of_kind.deadline_ms);
        for attempt in 0..TRIES {
            let Some(vm) = entry(attempt) else {
                return;
            };
            let ended = self.attempt(&vm, until, attempt == 0).await;
            let repeats = may_repeat(self.of_kind.contract);
            let again = match ended.answer {
                Answer::Whole | Answer::Wrong => false,
                Answer::NotRun => true,
                Answer::Failed | Answer::None => repeats || !ended.was_sent,
            };
            let left = until.saturating_duration_since(Instant::now());
            if !again || left.is_zero() {
                return;
            }
            let pause = ended.come_back.unwrap_or_default().min(left / 3);
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(&self, vm: &Vm, until: Instant, is_first: bool) -> Ended {
        let id = fastrand::u64(1..);
        self.seen.requests.borrow_mut().push(Request {
            id,
            kind: self.kind,
            at: self.seen.now(),
            vm: vm.index,
            is_first,
            is_deadly: self.is_deadly,
        });
        let ended = tokio::time::timeout_at(until + LATE, self.exchange(vm, id, until)).await;
        let ended = ended.unwrap_or(Ended {
            answer: Answer::None,
            come_back: None,
            was_sent: true,
        });
        self.seen.answers.borrow_mut().push(Answered {
            id,
            at: self.seen.now(),
            answer: ended.answer,
        });
        ended
    }

    async fn exchange(&self, vm: &Vm, id: u64, until: Instant) -> Ended {
        let none = |was_sent| Ended {
            answer: Answer::None,
            come_back: None,
            was_sent,
        };
        let Ok(mut connection) = Connection::open(&*self.host, vm.callers).await else {
            return none(false);
        };
        let id = format!("{id:016x}");
        let left_ms = until.saturating_duration_since(Instant::now()).as_millis();
        let method = match self.of_kind.contract {
            Contract::RetryFreely => "GET",
            Contract::AtMostOnce => "POST",
        };
        let name = &self.of_kind.name;
        let rest = if self.is_deadly { DEADLY } else { "x" };
        let text = format!(
            "{method} /{name}/{rest} HTTP/1.1\r\nHost: a.example\r\nx-id: {id}\r\nx-deadline-ms: {left_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        if connection.send(text.as_bytes()).await.is_err() {
            return none(true);
        }
        match connection.receive(method, MOST_BYTES).await {
            Ok(response) => ended(&response, &id),
            Err(_) => none(true),
        }
    }
}

fn ended(response: &Response, id: &str) -> Ended {
    let headers = &response.head.headers;
    let is_own = headers.get("x-id").is_none_or(|answered| answered == id);
    let answer = match response.head.status {
        200..300 if is_own && response.body == body_of(id).as_bytes() => Answer::Whole,
        200..300 => Answer::Wrong,
        429 | 503 | 408 | 421 => Answer::NotRun,
        _ => Answer::Failed,
    };
    let seconds = headers.get("retry-after");
    let seconds = seconds.and_then(|seconds| seconds.parse::<f64>().ok());
    Ended {
        answer,
        come_back: seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()),
        was_sent: true,
    }
}
