//! Serves one connection: reads requests and writes answers, one after the other.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::answer::{self, AfterAnswer, Answer};
use super::faults::AnswerFault;
use super::state::{RequestDraws, State};
use crate::precise_sleep;

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 96;

/// The head of a request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) path: String,
    headers: Vec<(String, String)>,
    length: usize,
}

impl Request {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Serves a connection until either side closes it.
pub(super) async fn serve(state: &State, mut stream: TcpStream) {
    if !state.work.connect_cost.is_zero() {
        tokio::time::sleep(state.work.connect_cost).await;
    }
    let mut buffer = BytesMut::new();
    while let Some(request) = read_head(&mut stream, &mut buffer).await {
        state.count(|counts| counts.requests += 1);
        let draws = state.draw();
        let fault = state.faults.borrow().pick_answer_fault(draws.answer);
        let whole = fault != Some(AnswerFault::CutRequest);
        let bytes = if whole {
            request.length
        } else {
            request.length / 2
        };
        if !read_until_length(&mut stream, &mut buffer, bytes).await || !whole {
            return;
        }
        drop(buffer.split_to(request.length));
        let answer = tokio::select! {
            biased;
            answer = respond_with_link_delay(state, &request, &draws) => answer,
            () = wait_until_closed(&mut stream, &mut buffer) => {
                state.count(|counts| counts.cancelled += 1);
                return;
            }
        };
        match answer::write(state, &mut stream, &request, answer, fault).await {
            AfterAnswer::KeepAlive => {}
            AfterAnswer::Close => return,
        }
    }
}

/// Waits until the peer closes the connection, which cancels the request; bytes that arrive are kept in the buffer.
async fn wait_until_closed(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while stream.read_buf(buffer).await.is_ok_and(|read| read > 0) {}
}

/// Reads a head; `None` if the connection ends or what arrives is not HTTP.
async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Request> {
    loop {
        if let Some((request, length)) = parse(buffer)? {
            drop(buffer.split_to(length));
            return Some(request);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Parses a head and returns it with its length: `None` if it is not HTTP, `Some(None)` if more bytes are needed.
fn parse(buffer: &[u8]) -> Option<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = parsed.parse(buffer).ok()? else {
        return Some(None);
    };
    let headers = parsed.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_owned(), value)
    });
    let mut request = Request {
        method: parsed.method?.to_owned(),
        path: parsed.path?.to_owned(),
        headers: headers.collect(),
        length: 0,
    };
    request.length = match request.header("content-length") {
        Some(length) => length.parse().ok()?,
        None => 0,
    };
    Some(Some((request, length)))
}

/// Reads until the buffer holds so many bytes; returns whether it does.
async fn read_until_length(stream: &mut TcpStream, buffer: &mut BytesMut, bytes: usize) -> bool {
    while buffer.len() < bytes {
        match stream.read_buf(buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    true
}

/// Answers a request, with the link delay before and after the work.
async fn respond_with_link_delay(state: &State, request: &Request, draws: &RequestDraws) -> Answer {
    wait_link_delay(state).await;
    let answer = respond(state, request, draws).await;
    wait_link_delay(state).await;
    answer
}

/// Waits for the one-way delay of the link.
async fn wait_link_delay(state: &State) {
    if !state.work.link_delay.is_zero() {
        precise_sleep::sleep(state.work.link_delay).await;
    }
}

/// Answers a probe or runs a request.
async fn respond(state: &State, request: &Request, draws: &RequestDraws) -> Answer {
    let path = request.path.split('?').next().unwrap_or_default();
    match path {
        "/health" => health(state),
        "/load" => probe(state).await,
        _ => work(state, request, draws).await,
    }
}

fn health(state: &State) -> Answer {
    state.count(|counts| counts.probes += 1);
    match state.faults.borrow().healthy {
        true => Answer::new(200, "healthy\n"),
        false => Answer::new(503, "unhealthy\n"),
    }
}

/// Answers a probe with the load as it was `load_lag` ago; the probe occupies a slot for `probe_cost`.
async fn probe(state: &State) -> Answer {
    state.count(|counts| counts.probes += 1);
    let _in_flight = state.load.enter();
    let slot = state.slots.acquire().await;
    precise_sleep::sleep(state.work.probe_cost).await;
    drop(slot);
    state.count(|counts| counts.probe_us += state.work.probe_cost.as_micros() as u64);
    let load = answer::reported_load(state, state.load.delayed());
    let body = load.map_or("{}\n".into(), |n| format!("{{\"in_flight\":{n}}}\n"));
    Answer::new(200, body)
}

/// Fails, sheds or runs a request.
async fn work(state: &State, request: &Request, draws: &RequestDraws) -> Answer {
    let (shed, fail) = {
        let faults = state.faults.borrow();
        let full = faults.shed_at.is_some_and(|at| state.load.now() >= at);
        let shed = full || draws.shed < faults.shed_share;
        (shed, draws.fail < faults.fail_fast_share)
    };
    if fail {
        state.count(|counts| counts.failed_fast += 1);
        return Answer::new(500, "failed\n");
    }
    if shed {
        state.count(|counts| counts.shed += 1);
        return Answer::new(503, "shed\n").header("x-not-run", "1");
    }
    let deadline = request
        .header("x-deadline-ms")
        .and_then(|ms| ms.parse().ok());
    let deadline = deadline.map(|ms| Instant::now() + Duration::from_millis(ms));
    let in_flight = state.load.enter();
    let answer = run(state, request, draws, deadline).await;
    drop(in_flight);
    answer
}

/// Waits for a slot and works, at most until the deadline. A request whose deadline passes in the queue has not run;
/// one whose deadline passes during the work has.
async fn run(
    state: &State,
    request: &Request,
    draws: &RequestDraws,
    deadline: Option<Instant>,
) -> Answer {
    let expired = || state.count(|counts| counts.expired += 1);
    let Ok(slot) = run_until_deadline(deadline, state.slots.acquire()).await else {
        expired();
        return Answer::new(503, "the deadline passed\n").header("x-not-run", "1");
    };
    state.record_run(
        request.header("idempotency-key"),
        request.header("x-call-id"),
    );
    let requested = request.header("x-work-us").and_then(|us| us.parse().ok());
    let time = state.scale_work_time(requested.map_or(draws.work_time, Duration::from_micros));
    let started_at = Instant::now();
    let done = match time.is_zero() {
        true => Ok(()),
        false => run_until_deadline(deadline, precise_sleep::sleep(time)).await,
    };
    drop(slot);
    state.count(|counts| counts.work_us += started_at.elapsed().as_micros() as u64);
    if done.is_err() {
        expired();
        return Answer::new(504, "the deadline passed\n");
    }
    let bytes = request
        .header("x-answer-bytes")
        .and_then(|n| n.parse().ok());
    let status = request
        .header("x-answer-status")
        .and_then(|s| s.parse().ok());
    let status = status.unwrap_or(200);
    match bytes {
        Some(bytes) => Answer::new(status, Bytes::from(vec![b'x'; bytes])),
        None => Answer::new(status, format!("{} {}\n", request.method, request.path)),
    }
}

/// Runs a future until its end or the deadline, if there is one.
async fn run_until_deadline<T>(
    deadline: Option<Instant>,
    work: impl Future<Output = T>,
) -> Result<T, ()> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, work).await.map_err(drop),
        None => Ok(work.await),
    }
}

/// Writes bytes and returns whether that succeeded.
pub(super) async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).await.is_ok()
}
