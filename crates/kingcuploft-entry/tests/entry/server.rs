//! A backend server that follows a script.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Act {
    /// Runs it and answers.
    Answer,
    /// Runs it for this long and answers.
    After(Duration),
    /// Runs it and closes without an answer.
    LoseAnswer,
    /// Runs it and closes within the answer.
    Truncate,
    /// Runs it; an answer to another request comes first.
    CrossedFirst,
    /// Runs it and answers with no signature.
    Unsigned,
    /// Runs it and fails.
    Fail,
    /// Says that it did not run it.
    Shed,
    /// Says that another server has the address.
    Misdirected,
    /// Answers, and names so many requests a second as its limit.
    Limited(u32),
    /// Answers, and names a limit that can't be read.
    NamesNoNumber,
    /// Runs it and never answers.
    Hang,
    /// Crashes under what is asked for under a path with `crash`, answers all else.
    CrashUnder,
}

/// A request as the server saw it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) text: String,
}

impl Seen {
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
    pub(crate) act: Rc<Cell<Act>>,
    /// Requests that reached it, probes not counted.
    pub(crate) seen: Rc<RefCell<Vec<Seen>>>,
    /// Requests that it ran.
    pub(crate) runs: Rc<Cell<u32>>,
    /// Requests whose connection closed while it ran them.
    pub(crate) cancelled: Rc<Cell<u32>>,
    pub(crate) probes: Rc<Cell<u32>>,
    /// For how many milliseconds more it says that it is cold.
    pub(crate) cold_ms: Rc<Cell<u32>>,
    connections: Rc<Cell<u32>>,
    /// Connections opened so far.
    pub(crate) opened: Rc<Cell<u32>>,
    /// How long a new connection waits before it is served.
    pub(crate) holds_new: Rc<Cell<Duration>>,
    /// The most connections at one time.
    pub(crate) most_connections: Rc<Cell<u32>>,
    /// Whether the server has ended.
    pub(crate) ended: Rc<Cell<bool>>,
    ending: Rc<Notify>,
}

impl TestServer {
    pub(crate) async fn start(act: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            act: Rc::new(Cell::new(act)),
            seen: Rc::default(),
            runs: Rc::default(),
            cancelled: Rc::default(),
            probes: Rc::default(),
            cold_ms: Rc::default(),
            connections: Rc::default(),
            opened: Rc::default(),
            holds_new: Rc::default(),
            most_connections: Rc::default(),
            ended: Rc::default(),
            ending: Rc::default(),
        };
        let serving = server.clone();
        tokio::task::spawn_local(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = serving.ending.notified() => return,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let server = serving.clone();
                tokio::task::spawn_local(async move {
                    let open = server.connections.get() + 1;
                    server.connections.set(open);
                    server.most_connections.update(|most| most.max(open));
                    server.opened.update(|opened| opened + 1);
                    tokio::time::sleep(server.holds_new.get()).await;
                    tokio::select! {
                        () = server.serve(stream) => {}
                        () = server.ending.notified() => {}
                    }
                    server.connections.update(|open| open - 1);
                });
            }
        });
        server
    }

    /// Ends the server: its connections close, and nobody listens any more.
    pub(crate) fn end(&self) {
        self.ended.set(true);
        self.ending.notify_waiters();
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            if request.text.starts_with("GET /health ") {
                self.probes.set(self.probes.get() + 1);
                let cold = match self.cold_ms.get() {
                    0 => String::new(),
                    ms => format!("x-cold-ms: {ms}\r\n"),
                };
                let answer =
                    format!("HTTP/1.1 200 OK\r\nx-load: 0,0,4\r\n{cold}Content-Length: 0\r\n\r\n");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.seen.borrow_mut().push(request.clone());
            if !self.act(&mut stream, &request).await {
                return;
            }
        }
    }

    /// Acts on a request; returns whether the connection stays open.
    async fn act(&self, stream: &mut TcpStream, request: &Seen) -> bool {
        let id = request.header("x-id").unwrap_or_default().to_owned();
        let act = self.act.get();
        if !matches!(act, Act::Shed | Act::Misdirected) {
            self.runs.set(self.runs.get() + 1);
        }
        let whole = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: s\r\nContent-Length: 5\r\n\r\nhello"
        );
        let answer = match act {
            Act::Answer => whole,
            Act::After(pause) => {
                let mut byte = [0; 1];
                tokio::select! {
                    _ = stream.read(&mut byte) => {
                        self.cancelled.set(self.cancelled.get() + 1);
                        return false;
                    }
                    () = tokio::time::sleep(pause) => whole,
                }
            }
            Act::LoseAnswer => return false,
            Act::Truncate => {
                let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 2]).await;
                return false;
            }
            Act::CrossedFirst => {
                let other = whole.replace(&format!("x-id: {id}"), "x-id: other");
                format!("{}{whole}", other.replace("hello", "other"))
            }
            Act::Unsigned => whole.replace("x-signed: s\r\n", ""),
            Act::Fail => whole.replace("200 OK", "500 Failed"),
            Act::Shed => {
                "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Act::Misdirected => "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Act::CrashUnder if request.text.contains("/crash") => {
                self.end();
                return false;
            }
            Act::CrashUnder => whole,
            Act::Limited(per_s) => {
                whole.replace("\r\n\r\n", &format!("\r\nServer-Limit: {per_s}\r\n\r\n"))
            }
            Act::NamesNoNumber => whole.replace("\r\n\r\n", "\r\nServer-Limit: few\r\n\r\n"),
            Act::Hang => {
                let mut byte = [0; 1];
                let _ = stream.read(&mut byte).await;
                self.cancelled.set(self.cancelled.get() + 1);
                return false;
            }
        };
        stream.write_all(answer.as_bytes()).await.is_ok()
    }
}

async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = bytes.drain(..end + 4).collect();
            let mut seen = Seen {
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
