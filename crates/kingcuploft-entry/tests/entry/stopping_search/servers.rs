//! Servers whose work and whose answers are drawn for each request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::draw;
use super::history::{History, RunEnd};
use crate::server::{ReceivedRequest, read_request};

/// How a server ends its work on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answer,
    Fail,
    Refuse,
    /// It closes the connection without an answer.
    BreakOff,
    /// It closes the connection in the middle of the answer.
    Truncate,
}

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// What a server does with a request.
#[derive(Debug)]
struct Act {
    work: Duration,
    outcome: Outcome,
    framing: Framing,
    body_bytes: usize,
    parts: usize,
    /// The time between two parts of the answer.
    gap: Duration,
}

impl Act {
    fn draw(rng: &mut Rng, slowness: f64) -> Self {
        let work = draw::of(
            rng,
            &[(4, 1..50), (3, 50..600), (2, 600..3_000), (1, 3_000..6_000)],
        );
        let body = draw::of(
            rng,
            &[(7, 0..200), (2, 4_000..20_000), (1, 20_000..200_000)],
        );
        let parts = draw::of(rng, &[(4, 1..2), (1, 2..5)]);
        let outcomes = [
            (84, Outcome::Answer),
            (4, Outcome::Fail),
            (5, Outcome::Refuse),
            (4, Outcome::BreakOff),
            (3, Outcome::Truncate),
        ];
        let framings = [
            (8, Framing::Length),
            (1, Framing::Chunked),
            (1, Framing::UntilClose),
        ];
        let outcome = draw::choose(rng, &outcomes);
        let framing = match outcome {
            // The truncated form of the others can pass for whole.
            Outcome::Truncate => Framing::Length,
            _ => draw::choose(rng, &framings),
        };
        Self {
            work: Duration::from_millis(work).mul_f64(slowness),
            outcome,
            framing,
            body_bytes: body as usize,
            parts: parts as usize,
            gap: Duration::from_millis(rng.u64(1..400)),
        }
    }

    /// Returns the bytes of the whole answer to a request.
    fn answer(&self, id: usize, name: &str) -> Vec<u8> {
        let body = body_of(id, self.body_bytes);
        let status = match self.outcome {
            Outcome::Fail => "500 Failed",
            _ => "200 OK",
        };
        let head = format!("HTTP/1.1 {status}\r\nx-id: {name}\r\nx-signed: s\r\nx-load: 0,0,4\r\n");
        let rest = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
            Framing::Chunked if body.is_empty() => {
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned()
            }
            Framing::Chunked => format!(
                "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
            Framing::UntilClose => format!("Connection: close\r\n\r\n{body}"),
        };
        (head + &rest).into_bytes()
    }
}

/// Returns the body of a server's answer to a request.
pub(super) fn body_of(id: usize, bytes: usize) -> String {
    let mut body = format!("r{id} ").repeat(bytes / 3 + 1);
    body.truncate(bytes);
    body
}

/// A server of the scenario.
#[derive(Debug)]
pub(super) struct Server {
    index: usize,
    pub(super) address: std::net::SocketAddr,
    history: Rc<History>,
    seed: u64,
    /// By which factor its work takes longer.
    slowness: f64,
    slots: u32,
    running: Cell<u32>,
    has_ended: watch::Sender<bool>,
}

impl Server {
    pub(super) async fn start(history: &Rc<History>, index: usize, rng: &mut Rng) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Rc::new(Self {
            index,
            address: listener.local_addr().unwrap(),
            history: history.clone(),
            seed: rng.u64(..),
            slowness: draw::choose(rng, &[(4, 1.0), (1, 0.2), (1, 3.0)]),
            slots: rng.u32(1..8),
            running: Cell::new(0),
            has_ended: watch::Sender::new(false),
        });
        tokio::task::spawn_local(server.clone().accept(listener));
        server
    }

    /// Ends the server: its connections close, and new ones are refused.
    pub(super) fn end(&self) {
        self.has_ended.send_replace(true);
    }

    async fn ended(&self) {
        let mut ended = self.has_ended.subscribe();
        let _ = ended.wait_for(|has_ended| *has_ended).await;
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.ended() => return,
            };
            let (stream, _) = accepted.unwrap();
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let request = tokio::select! {
                request = read_request(&mut stream, &mut bytes) => request,
                () = self.ended() => return,
            };
            let Some(request) = request else {
                return;
            };
            let goes_on = match request.text.starts_with("GET /health ") {
                true => self.report(&mut stream).await,
                false => self.respond(&mut stream, &request).await,
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn report(&self, stream: &mut TcpStream) -> bool {
        let (running, slots) = (self.running.get(), self.slots);
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-load: {running},0,{slots}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.is_ok()
    }

    /// Responds to a request; returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let name = request.header("x-id").unwrap_or_default();
        let Some(id) = self.history.id_of(name) else {
            return false;
        };
        let run = self.history.begin_run(id, self.index);
        let mut rng = Rng::with_seed(self.seed ^ (id as u64) << 8 ^ run as u64);
        let act = Act::draw(&mut rng, self.slowness);
        let is_full = self.running.get() >= self.slots && rng.bool();
        if is_full || act.outcome == Outcome::Refuse {
            self.history.end_run(id, run, RunEnd::Refused);
            let refusal = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(refusal.as_bytes()).await.is_ok();
        }
        self.running.update(|running| running + 1);
        let end = tokio::select! {
            end = work(stream, (id, name), &act) => end,
            () = self.ended() => RunEnd::BrokeOff,
        };
        self.running.update(|running| running - 1);
        self.history.end_run(id, run, end);
        matches!(end, RunEnd::Answered | RunEnd::Failed) && act.framing != Framing::UntilClose
    }
}

/// Returns how many bytes the head of an answer has: servers write it at once.
fn head_bytes(answer: &[u8]) -> usize {
    let end = answer.windows(4).position(|four| four == b"\r\n\r\n");
    end.map_or(answer.len(), |end| end + 4)
}

/// Works on a request and answers it; returns how that ended.
async fn work(stream: &mut TcpStream, (id, name): (usize, &str), act: &Act) -> RunEnd {
    if !pause(stream, act.work).await {
        return RunEnd::Cancelled;
    }
    let mut answer = act.answer(id, name);
    match act.outcome {
        Outcome::BreakOff => return RunEnd::BrokeOff,
        Outcome::Truncate => answer.truncate(answer.len() / 2),
        Outcome::Answer | Outcome::Fail | Outcome::Refuse => {}
    }
    let (head, body) = answer.split_at(head_bytes(&answer));
    if stream.write_all(head).await.is_err() {
        return RunEnd::Cancelled;
    }
    let part_bytes = body.len().div_ceil(act.parts).max(1);
    for (at, part) in body.chunks(part_bytes).enumerate() {
        if at > 0 && !pause(stream, act.gap).await {
            return RunEnd::Cancelled;
        }
        if stream.write_all(part).await.is_err() {
            return RunEnd::Cancelled;
        }
    }
    match act.outcome {
        Outcome::Truncate => RunEnd::BrokeOff,
        Outcome::Fail => RunEnd::Failed,
        _ => RunEnd::Answered,
    }
}

/// Waits; returns whether the VM has kept the connection open.
async fn pause(stream: &mut TcpStream, time: Duration) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        _ = stream.read(&mut byte) => false,
        () = tokio::time::sleep(time) => true,
    }
}
