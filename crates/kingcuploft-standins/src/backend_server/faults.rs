//! The faults of a backend server; a test can change them while the server runs.

use std::time::Duration;

/// The faults of a backend server.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The factor by which every work time is multiplied.
    pub slow_factor: f64,
    /// Periodic slow spells, if any.
    pub slow_spells: Option<SlowSpells>,
    /// What the load header and `/load` report.
    pub load: LoadReporting,
    /// Whether `/health` reports the server as healthy.
    pub healthy: bool,
    /// Whether answers carry the drain header.
    pub draining: bool,
    /// The number of requests in flight from which on a new one is shed: 503 with `x-not-run`.
    pub shed_at: Option<u32>,
    /// The share of the requests that are shed at any load.
    pub shed_share: f64,
    /// The share of the requests that fail at once with 500, without having run.
    pub fail_fast_share: f64,
    /// Whether connections are refused because the port is closed.
    pub refuse_connections: bool,
    /// The faults of answers, each with the share of the requests that have it.
    pub answers: Vec<(AnswerFault, f64)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            slow_spells: None,
            load: LoadReporting::Truthful,
            healthy: true,
            draining: false,
            shed_at: None,
            shed_share: 0.0,
            fail_fast_share: 0.0,
            refuse_connections: false,
            answers: Vec::new(),
        }
    }
}

impl Faults {
    /// Gives every answer this fault.
    pub fn set_answer_fault(&mut self, fault: AnswerFault) {
        self.answers = vec![(fault, 1.0)];
    }

    /// Returns the answer fault for a draw in `0.0..1.0`, if any.
    pub(super) fn pick_answer_fault(&self, draw: f64) -> Option<AnswerFault> {
        let mut sum = 0.0;
        let fault = self.answers.iter().find(|(_, share)| {
            sum += share;
            draw < sum
        });
        fault.map(|(fault, _)| *fault)
    }

    /// Returns the factor of work times at this time since the start.
    pub(super) fn factor_at(&self, since_start: Duration) -> f64 {
        let spells = self.slow_spells.as_ref();
        let spell = spells.filter(|spells| spells.slow_at(since_start));
        self.slow_factor * spell.map_or(1.0, |spells| spells.factor)
    }
}

/// Periodic slow spells.
#[derive(Clone, Debug)]
pub struct SlowSpells {
    /// The time from the start of the server until the first spell.
    pub first: Duration,
    /// The time from the start of one spell to the start of the next.
    pub period: Duration,
    /// The duration of each spell.
    pub duration: Duration,
    /// The factor of work times during a spell.
    pub factor: f64,
}

impl SlowSpells {
    fn slow_at(&self, since_start: Duration) -> bool {
        let Some(since_first) = since_start.checked_sub(self.first) else {
            return false;
        };
        let period_us = self.period.as_micros().max(1);
        since_first.as_micros() % period_us < self.duration.as_micros()
    }
}

/// What a backend server reports as its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReporting {
    /// Its true load.
    Truthful,
    /// Always this number: a frozen value if it was true once, a misleading one if it never was.
    Always(u32),
    /// No load.
    Silent,
}

/// A fault of an answer. The request has run unless stated otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// The connection closes after half of the request's body was read; the request does not run.
    CutRequest,
    /// The answer is sent this long after the end of the work.
    Late(Duration),
    /// No answer is sent, and the connection stays open.
    Never,
    /// The answer of another request is sent, with that request's id.
    Crossed,
    /// The connection closes before any byte of the answer.
    CutBeforeHead,
    /// The connection closes in the middle of the head.
    CutInHead,
    /// The connection closes in the middle of the body.
    CutInBody,
    /// The answer is sent twice.
    Duplicated,
    /// The answer is sent byte by byte, with this pause after each.
    Dripped(Duration),
    /// The body has this many bytes.
    Oversized(usize),
    /// The body has neither a length nor chunks; it ends when the connection closes.
    NoLength,
    /// The body is chunked, and the final empty chunk is missing.
    CutInChunks,
    /// The body is chunked and complete.
    Chunked,
    /// The bytes sent are not HTTP.
    Garbage,
    /// The answer is a redirect with a cookie and a header that claims a compressed body.
    Redirect,
}
