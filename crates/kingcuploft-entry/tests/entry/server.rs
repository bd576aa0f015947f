//! A backend server with scripted behavior.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::endless::{self, Pace, Part};
use crate::server_answers::{
    answer_slowly, pause_header, refusal_with_pause, request_id, whole_answer,
};

/// The body that no sound server sends, as long as that of a sound answer.
pub(crate) const FORGED_BODY: &str = "false";

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// Runs it and answers.
    Answer,
    /// Runs it for this long and answers.
    AnswerAfter(Duration),
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Runs it and closes the connection in the middle of the answer.
    Truncate,
    /// Runs it and answers, after an answer to another request.
    AnswerOtherFirst,
    /// Runs it and answers without a signature.
    Unsigned,
    /// Runs it and answers with a failure.
    Fail,
    /// Refuses it and says that it did not run it.
    Shed,
    /// Refuses it, says that it did not run it, and wants no more requests for so many milliseconds.
    ShedAndPause(u32),
    /// Like [`Self::ShedAndPause`], with the status for too many requests.
    ThrottleAndPause(u32),
    /// Refuses it and says that another server has the address.
    Misdirected,
    /// Runs it, answers, and names so many requests a second as its limit.
    NameLimit(u32),
    /// Runs it, answers, and names a limit that can't be parsed.
    NameInvalidLimit,
    /// Runs it, answers, and says that it keeps the connection open for so many seconds.
    KeepAlive(&'static str),
    /// Runs it and never answers.
    Hang,
    /// Crashes if the path contains `/crash`, runs and answers all else.
    CrashOnMarkedPath,
    /// Runs it and sends an answer without end.
    AnswerWithoutEnd(Part, Pace),
    /// Runs it, and answers with this status and a body that looks like a whole answer with another body.
    ForgeBehind(&'static str),
    /// Runs it, and answers a lookup slowly with a body of so many bytes.
    AnswerAtLength(usize),
}

/// In which of its answers a server says that it leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LeavingNotice {
    /// In none: it does not leave.
    #[default]
    None,
    /// In its answers to requests, but not in those to probes.
    Requests,
    /// In its answers to probes, but not in those to requests.
    Probes,
    /// In all.
    All,
}

/// Which of its answers a server sends a second time, late: in front of its next answer on the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LateExtra {
    /// None.
    #[default]
    None,
    /// Those to probes, all of which it refuses as it is full.
    ProbeRefusals,
    /// Those to requests.
    Answers,
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) text: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.text.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }
}

/// A scripted server.
#[derive(Clone)]
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) behavior: Rc<Cell<Behavior>>,
    /// Requests that it received, without probes.
    pub(crate) received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// How many requests it ran.
    pub(crate) runs: Rc<Cell<u32>>,
    /// How many requests it ran whose connection closed meanwhile.
    pub(crate) cancelled: Rc<Cell<u32>>,
    pub(crate) probe_count: Rc<Cell<u32>>,
    /// For how many more milliseconds it says that it is cold.
    pub(crate) cold_ms: Rc<Cell<u32>>,
    /// How long it takes to answer a probe.
    pub(crate) probe_delay: Rc<Cell<Duration>>,
    /// With which pause, in milliseconds, it refuses probes; 0 answers them.
    pub(crate) probe_pause_ms: Rc<Cell<u32>>,
    /// The status with which it answers probes, before what looks like a sound answer to them.
    pub(crate) probe_status: Rc<Cell<Option<&'static str>>>,
    /// Which part of its answers to probes has no end.
    pub(crate) endless_probes: Rc<Cell<Option<(Part, Pace)>>>,
    /// How many bytes of answers without end it has sent on connections that have closed since.
    pub(crate) endless_bytes: Rc<Cell<u64>>,
    /// In which answers it says that it leaves.
    pub(crate) leaving_notice: Rc<Cell<LeavingNotice>>,
    /// Which answers it sends a second time.
    pub(crate) late_extra: Rc<Cell<LateExtra>>,
    /// In front of how many answers to requests it has sent another answer a second time.
    pub(crate) extras_before_answers: Rc<Cell<u32>>,
    /// In front of how many answers to probes it has sent another answer a second time.
    pub(crate) extras_before_probe_answers: Rc<Cell<u32>>,
    connections: Rc<Cell<u32>>,
    /// How many connections were opened so far.
    pub(crate) opened_connections: Rc<Cell<u32>>,
    /// How long a new connection waits before it is served.
    pub(crate) accept_delay: Rc<Cell<Duration>>,
    /// The most connections that were open at one time.
    pub(crate) max_open_connections: Rc<Cell<u32>>,
    /// Whether the server has shut down.
    pub(crate) has_ended: Rc<Cell<bool>>,
    shutdown: Rc<Notify>,
}

impl TestServer {
    pub(crate) async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            behavior: Rc::new(Cell::new(behavior)),
            received: Rc::default(),
            runs: Rc::default(),
            cancelled: Rc::default(),
            probe_count: Rc::default(),
            cold_ms: Rc::default(),
            probe_delay: Rc::default(),
            probe_pause_ms: Rc::default(),
            probe_status: Rc::default(),
            endless_probes: Rc::default(),
            endless_bytes: Rc::default(),
            leaving_notice: Rc::default(),
            late_extra: Rc::default(),
            extras_before_answers: Rc::default(),
            extras_before_probe_answers: Rc::default(),
            connections: Rc::default(),
            opened_connections: Rc::default(),
            accept_delay: Rc::default(),
            max_open_connections: Rc::default(),
            has_ended: Rc::default(),
            shutdown: Rc::default(),
        };
        let serving = server.clone();
        tokio::task::spawn_local(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = serving.shutdown.notified() => return,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let server = serving.clone();
                tokio::task::spawn_local(async move {
                    let open = server.connections.get() + 1;
                    server.connections.set(open);
                    server.max_open_connections.update(|most| most.max(open));
                    server.opened_connections.update(|opened| opened + 1);
                    tokio::time::sleep(server.accept_delay.get()).await;
                    tokio::select! {
                        () = server.serve(stream) => {}
                        () = server.shutdown.notified() => {}
                    }
                    server.connections.update(|open| open - 1);
                });
            }
        });
        server
    }

    /// Shuts the server down: its connections close, and new ones are refused.
    pub(crate) fn shut_down(&self) {
        self.has_ended.set(true);
        self.shutdown.notify_waiters();
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        let mut extra: Option<String> = None;
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let is_probe = request.text.starts_with("GET /health ");
            if let Some(extra) = extra.take() {
                if stream.write_all(extra.as_bytes()).await.is_err() {
                    return;
                }
                let count = match is_probe {
                    true => &self.extras_before_probe_answers,
                    false => &self.extras_before_answers,
                };
                count.update(|count| count + 1);
            }
            let late_extra = self.late_extra.get();
            if is_probe {
                self.probe_count.set(self.probe_count.get() + 1);
                if let Some((part, pace)) = self.endless_probes.get() {
                    let load = "x-load: 0,0,4\r\n";
                    return self.answer_without_end(&mut stream, load, part, pace).await;
                }
                tokio::time::sleep(self.probe_delay.get()).await;
                let cold = match self.cold_ms.get() {
                    0 => String::new(),
                    ms => format!("x-cold-ms: {ms}\r\n"),
                };
                let leaving = match self.leaving_notice.get() {
                    LeavingNotice::Probes | LeavingNotice::All => "x-leaving: 1\r\n",
                    LeavingNotice::None | LeavingNotice::Requests => "",
                };
                let (status, pause) = match self.probe_pause_ms.get() {
                    _ if late_extra == LateExtra::ProbeRefusals => {
                        ("503 Full", "x-not-run: 1\r\n".to_owned())
                    }
                    0 => ("200 OK", String::new()),
                    ms => ("503 Full", pause_header(ms)),
                };
                let forged = self.probe_status.get().map(|status| {
                    format!("HTTP/1.1 {status}\r\nx-load: 0,0,4\r\nContent-Length: 52\r\n\r\n")
                });
                let forged = forged.unwrap_or_default();
                let answer = format!(
                    "{forged}HTTP/1.1 {status}\r\nx-load: 0,0,4\r\n{pause}{cold}{leaving}Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                extra = (late_extra == LateExtra::ProbeRefusals).then_some(answer);
                continue;
            }
            self.received.borrow_mut().push(request.clone());
            if !self.respond(&mut stream, &request).await {
                return;
            }
            extra = (late_extra == LateExtra::Answers).then(|| whole_answer(&request));
        }
    }

    /// Sends bytes of an answer until the connection closes.
    async fn answer_without_end(
        &self,
        stream: &mut TcpStream,
        headers: &str,
        part: Part,
        pace: Pace,
    ) {
        let sent = endless::send(stream, headers, part, pace).await;
        self.endless_bytes.update(|bytes| bytes + sent);
        self.cancelled.update(|cancelled| cancelled + 1);
    }

    /// Responds to a request; returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let id = request_id(request);
        let behavior = self.behavior.get();
        let is_refused = matches!(
            behavior,
            Behavior::Shed
                | Behavior::ShedAndPause(_)
                | Behavior::ThrottleAndPause(_)
                | Behavior::Misdirected
        );
        if !is_refused {
            self.runs.set(self.runs.get() + 1);
        }
        let whole = whole_answer(request);
        let answer = match behavior {
            Behavior::Answer => whole,
            Behavior::AnswerAfter(pause) => {
                let mut byte = [0; 1];
                tokio::select! {
                    _ = stream.read(&mut byte) => {
                        self.cancelled.set(self.cancelled.get() + 1);
                        return false;
                    }
                    () = tokio::time::sleep(pause) => whole,
                }
            }
            Behavior::LoseAnswer => return false,
            Behavior::Truncate => {
                let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 2]).await;
                return false;
            }
            Behavior::AnswerOtherFirst => {
                let other = whole.replace(&format!("x-id: {id}"), "x-id: other");
                format!("{}{whole}", other.replace("hello", "other"))
            }
            Behavior::Unsigned => whole.replace("x-signed: s\r\n", ""),
            Behavior::Fail => whole.replace("200 OK", "500 Failed"),
            Behavior::Shed => {
                format!(
                    "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"
                )
            }
            Behavior::ShedAndPause(pause_ms) => refusal_with_pause("503 Full", id, pause_ms),
            Behavior::ThrottleAndPause(pause_ms) => refusal_with_pause("429 Many", id, pause_ms),
            Behavior::Misdirected => {
                format!("HTTP/1.1 421 Misdirected\r\nx-id: {id}\r\nContent-Length: 0\r\n\r\n")
            }
            Behavior::CrashOnMarkedPath if request.text.contains("/crash") => {
                self.shut_down();
                return false;
            }
            Behavior::CrashOnMarkedPath => whole,
            Behavior::NameLimit(per_s) => {
                whole.replace("\r\n\r\n", &format!("\r\nServer-Limit: {per_s}\r\n\r\n"))
            }
            Behavior::NameInvalidLimit => {
                whole.replace("\r\n\r\n", "\r\nServer-Limit: few\r\n\r\n")
            }
            Behavior::KeepAlive(time) => whole.replace(
                "\r\n\r\n",
                &format!("\r\nKeep-Alive: timeout={time}\r\n\r\n"),
            ),
            Behavior::AnswerWithoutEnd(part, pace) => {
                let headers = format!("x-id: {id}\r\nx-signed: s\r\n");
                self.answer_without_end(stream, &headers, part, pace).await;
                return false;
            }
            Behavior::ForgeBehind(status) => {
                let forged = whole.replace("hello", FORGED_BODY);
                whole
                    .replace("200 OK", status)
                    .replace(
                        "Content-Length: 5",
                        &format!("Content-Length: {}", forged.len()),
                    )
                    .replace("hello", &forged)
            }
            Behavior::AnswerAtLength(_) if request.text.starts_with("POST") => whole,
            Behavior::AnswerAtLength(length) => {
                return answer_slowly(stream, id, length).await.is_ok();
            }
            Behavior::Hang => {
                let mut byte = [0; 1];
                let _ = stream.read(&mut byte).await;
                self.cancelled.set(self.cancelled.get() + 1);
                return false;
            }
        };
        let answer = match self.leaving_notice.get() {
            LeavingNotice::None | LeavingNotice::Probes => answer,
            LeavingNotice::Requests | LeavingNotice::All => {
                answer.replacen("\r\n", "\r\nx-leaving: 1\r\n", 1)
            }
        };
        stream.write_all(answer.as_bytes()).await.is_ok()
    }
}

pub(crate) async fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = bytes.drain(..end + 4).collect();
            let mut seen = ReceivedRequest {
                text: String::from_utf8(head).ok()?,
            };
            let length = seen.header("content-length").unwrap_or("0").parse().ok()?;
            while bytes.len() < length {
                if stream.read_buf(bytes).await.ok()? == 0 {
                    return None;
                }
            }
            let body: Vec<u8> = bytes.drain(..length).collect();
            seen.text.push_str(&String::from_utf8_lossy(&body));
            return Some(seen);
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}
