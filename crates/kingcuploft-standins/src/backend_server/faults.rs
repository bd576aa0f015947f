//! What goes wrong at a backend server; a test may change it while the server runs.

use std::time::Duration;

/// The faults of a backend server.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The factor of every work time.
    pub slow_factor: f64,
    /// Slow spells by schedule.
    pub slow_spells: Option<SlowSpells>,
    /// What the load header and `/load` tell.
    pub load: LoadReporting,
    /// What `/health` tells.
    pub healthy: bool,
    /// Whether replies carry the drain header.
    pub draining: bool,
    /// The number in flight at which requests are shed: 503 with `x-not-run`.
    pub shed_at: Option<u32>,
    /// The share of requests shed at any load.
    pub shed_share: f64,
    /// The share of requests that fail at once with 500, without having run.
    pub fail_fast_share: f64,
    /// Whether connections are refused: the port is closed.
    pub refuse_connections: bool,
    /// Faulty answers, each with the share of requests it befalls.
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
    /// Makes one fault befall every answer.
    pub fn set_answer_fault(&mut self, fault: AnswerFault) {
        self.answers = vec![(fault, 1.0)];
    }

    /// Returns the fault that a draw between 0 and 1 falls on.
    pub(super) fn pick_answer_fault(&self, draw: f64) -> Option<AnswerFault> {
        let mut sum = 0.0;
        let fault = self.answers.iter().find(|(_, share)| {
            sum += share;
            draw < sum
        });
        fault.map(|(fault, _)| *fault)
    }

    /// Returns the factor of work times at a time since the start.
    pub(super) fn factor_at(&self, since_start: Duration) -> f64 {
        let spells = self.slow_spells.as_ref();
        let spell = spells.filter(|spells| spells.slow_at(since_start));
        self.slow_factor * spell.map_or(1.0, |spells| spells.factor)
    }
}

/// Slow spells that come again and again.
#[derive(Clone, Debug)]
pub struct SlowSpells {
    /// The time from the start until the first one.
    pub first: Duration,
    /// The time from the beginning of one to the beginning of the next.
    pub every: Duration,
    /// How long each lasts.
    pub lasts: Duration,
    /// The factor of work times within one.
    pub factor: f64,
}

impl SlowSpells {
    fn slow_at(&self, since_start: Duration) -> bool {
        let Some(since_first) = since_start.checked_sub(self.first) else {
            return false;
        };
        let every_us = self.every.as_micros().max(1);
        since_first.as_micros() % every_us < self.lasts.as_micros()
    }
}

/// What a backend server tells about its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReporting {
    /// The truth.
    Truthful,
    /// Always this figure: frozen where it was true once, misleading where it never was.
    Always(u32),
    /// Nothing.
    Silent,
}

/// How an answer goes wrong after the request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// The connection closes when half of the request's body was read; the request does not run.
    CutRequest,
    /// The answer comes this much later than the work ended.
    Late(Duration),
    /// No answer comes, and the connection stays open.
    Never,
    /// Another request's answer comes, with its id.
    Crossed,
    /// The connection closes before any byte.
    CutBeforeHead,
    /// The connection closes in the middle of the head.
    CutInHead,
    /// The connection closes in the middle of the body.
    CutInBody,
    /// The answer comes twice.
    Duplicated,
    /// The answer comes byte by byte with this pause.
    Dripped(Duration),
    /// The body has this many bytes.
    Oversized(usize),
    /// The body has neither a length nor chunks; only the connection's end ends it.
    NoLength,
    /// The body comes in chunks and the last one is missing.
    CutInChunks,
    /// The body comes in chunks, whole.
    Chunked,
    /// What comes is not HTTP.
    Garbage,
    /// The answer is a redirect with a cookie and says that its body is compressed.
    Redirect,
}
