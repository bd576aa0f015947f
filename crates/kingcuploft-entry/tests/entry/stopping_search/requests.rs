//! Requests as callers send them.

use std::time::Duration;

use fastrand::Rng;

use super::draw;
use super::history::Kind;

/// How a booking's body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    Length,
    Chunked,
}

/// A booking's body, which comes in parts.
#[derive(Clone, Debug)]
struct Body {
    framing: BodyFraming,
    expects_continue: bool,
    /// The time before each part, and its length.
    parts: Vec<(Duration, usize)>,
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub(super) struct RequestPlan {
    path: &'static str,
    timeout: Duration,
    deadline: Option<Duration>,
    closes: bool,
    body: Option<Body>,
}

impl RequestPlan {
    pub(super) fn draw(rng: &mut Rng, bookings_in_100: u32) -> Self {
        let is_booking = rng.u32(0..100) < bookings_in_100;
        let body = is_booking.then(|| Body::draw(rng));
        let lookups = [(9, ("/look/a", 5_000)), (1, ("/short/a", 300))];
        let (path, timeout_ms) = match is_booking {
            true => ("/book/a", 5_000),
            false => draw::choose(rng, &lookups),
        };
        let deadline_ms = draw::of(rng, &[(1, 500..1_500), (1, 1_500..5_000)]);
        Self {
            path,
            timeout: Duration::from_millis(timeout_ms),
            deadline: (rng.u32(0..4) > 0).then(|| Duration::from_millis(deadline_ms)),
            closes: rng.u32(0..40) == 0,
            body,
        }
    }

    pub(super) fn kind(&self) -> Kind {
        match self.body {
            Some(_) => Kind::Booking,
            None => Kind::Lookup,
        }
    }

    /// Returns the least of its deadline and of its route's timeout.
    pub(super) fn allowed(&self) -> Duration {
        self.deadline
            .map_or(self.timeout, |deadline| deadline.min(self.timeout))
    }

    pub(super) fn expects_continue(&self) -> bool {
        self.body.as_ref().is_some_and(|body| body.expects_continue)
    }

    pub(super) fn head(&self, name: &str) -> Vec<u8> {
        let method = match self.body {
            Some(_) => "POST",
            None => "GET",
        };
        let mut head = format!(
            "{method} {} HTTP/1.1\r\nHost: a.example\r\nx-id: {name}\r\n",
            self.path
        );
        if let Some(deadline) = self.deadline {
            head += &format!("x-deadline-ms: {}\r\n", deadline.as_millis());
        }
        if self.closes {
            head += "Connection: close\r\n";
        }
        if let Some(body) = &self.body {
            head += &body.headers();
        }
        (head + "\r\n").into_bytes()
    }

    /// Returns the parts of the body, each with the time before it.
    pub(super) fn body_parts(&self) -> Vec<(Duration, Vec<u8>)> {
        let Some(body) = &self.body else {
            return Vec::new();
        };
        let parts = body.parts.iter();
        let mut parts: Vec<_> = parts
            .map(|(pause, bytes)| (*pause, body.encode(*bytes)))
            .collect();
        if body.framing == BodyFraming::Chunked {
            parts.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
        }
        parts
    }
}

impl Body {
    fn draw(rng: &mut Rng) -> Self {
        let parts = draw::of(rng, &[(2, 1..2), (1, 2..5)]);
        let part = |rng: &mut Rng| {
            let pause_ms = draw::of(rng, &[(2, 0..1), (2, 1..100), (1, 100..1_500)]);
            let bytes = draw::of(rng, &[(3, 1..100), (1, 100..20_000)]);
            (Duration::from_millis(pause_ms), bytes as usize)
        };
        Self {
            framing: draw::choose(rng, &[(2, BodyFraming::Length), (1, BodyFraming::Chunked)]),
            expects_continue: rng.u32(0..4) == 0,
            parts: (0..parts).map(|_| part(rng)).collect(),
        }
    }

    fn headers(&self) -> String {
        let bytes: usize = self.parts.iter().map(|(_, bytes)| bytes).sum();
        let framing = match self.framing {
            BodyFraming::Length => format!("Content-Length: {bytes}\r\n"),
            BodyFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        match self.expects_continue {
            true => framing + "Expect: 100-continue\r\n",
            false => framing,
        }
    }

    fn encode(&self, bytes: usize) -> Vec<u8> {
        let part = "b".repeat(bytes);
        match self.framing {
            BodyFraming::Length => part.into_bytes(),
            BodyFraming::Chunked => format!("{bytes:x}\r\n{part}\r\n").into_bytes(),
        }
    }
}
