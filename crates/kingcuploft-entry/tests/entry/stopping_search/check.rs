//! Compares what servers ran with what callers got.

use std::time::Duration;

use super::callers::SLOW_READ_INTERVAL;
use super::history::{ConnectionEnd, History, Kind, Run, RunEnd, SentRequest};

/// How long a stopping VM's process may last.
const GRACE: Duration = Duration::from_secs(6);

/// The begin of the last sixth of [`GRACE`].
const LAST_SIXTH_AT: Duration = Duration::from_secs(5);

/// How long after the stop a request may be sent for which a server at work in the last sixth excuses the VM.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

/// How much sooner than the least time a VM may take a request's time for over.
const TIME_SLACK: Duration = Duration::from_millis(10);

/// How long after its last byte a request that was not passed on may be cut.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How long after a cut of the paths to servers its last connection ends.
const CUT_SLACK: Duration = Duration::from_millis(20);

/// How a request was not handled as promised.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Violation {
    /// A request that reached a server has no whole answer.
    Lost,
    /// It is the same, and a request ahead of it was cut at whose server work went on until the exit.
    LostBehindWork,
    /// It is the same, of a request whose last bytes came so late that the server's work does not excuse the VM.
    LostSentLate,
    /// A request that was read and not passed on has no answer.
    LostWaiting,
    /// The VM's own answer stands for one at which a server was at work.
    Replaced,
    /// A caller of a VM that does not stop got no server's answer, as another VM stopped that had passed the request on.
    CutBehindOtherVm,
    /// A protected request ran though the answer ahead of it announced the close.
    RanBehindClose,
    /// A protected request ran twice.
    RanTwice,
    /// A request ran though it was refused.
    RefusedThoughRun,
    /// An answer is not that of its request, or comes behind an announced close.
    Mixed,
    /// A protected request was not run, and its connection was closed behind answers of which none announces that.
    Unannounced,
}

/// A violation, with the id of its request.
pub(super) type Found = (Violation, usize);

/// Returns what was not handled as promised.
pub(super) fn check(history: &History) -> Vec<Found> {
    let requests = history.requests.borrow();
    let mut found = Vec::new();
    for (id, request) in requests.iter().enumerate() {
        let ahead: Vec<_> = requests[..id]
            .iter()
            .filter(|other| other.connection == request.connection)
            .collect();
        let checked = Checked {
            history,
            request,
            ahead: &ahead,
        };
        found.extend(checked.violations().map(|violation| (violation, id)));
    }
    found
}

/// A request with what is needed to judge it.
struct Checked<'a> {
    history: &'a History,
    request: &'a SentRequest,
    /// The earlier requests of its connection.
    ahead: &'a [&'a SentRequest],
}

impl Checked<'_> {
    fn violations(&self) -> impl Iterator<Item = Violation> {
        [
            self.lost(),
            self.replaced(),
            self.ran(),
            self.refused(),
            self.mixed(),
        ]
        .into_iter()
        .flatten()
    }

    /// Returns when the VM ended the connection.
    fn closed_at(&self) -> Option<Duration> {
        let end = self.history.connections.borrow()[self.request.connection];
        end.filter(|(_, by)| *by == ConnectionEnd::ByVm)
            .map(|(at, _)| at)
    }

    fn is_behind_close(&self) -> bool {
        let closes = |r: &&SentRequest| r.answer.as_ref().is_some_and(|answer| answer.closes);
        self.ahead.iter().any(closes)
    }

    fn is_at_stopping_vm(&self) -> bool {
        let vms = self.history.connection_vms.borrow();
        vms[self.request.connection] == self.history.stopping_vm.get()
    }

    fn has_run(&self) -> bool {
        self.run_count() > 0
    }

    fn run_count(&self) -> usize {
        let runs = self.request.runs.iter();
        runs.filter(|run| !run.ended_with(RunEnd::Refused)).count()
    }

    fn lost(&self) -> Option<Violation> {
        let (closed_at, sent_at) = (self.closed_at()?, self.request.sent_at?);
        if self.request.answer.is_some() || sent_at > closed_at || self.is_behind_close() {
            return None;
        }
        if !self.is_at_stopping_vm() {
            return Some(Violation::CutBehindOtherVm);
        }
        if !self.has_run() {
            return self.lost_without_run(closed_at, sent_at);
        }
        if self.is_excused(closed_at) || self.is_unread_by_caller() {
            return None;
        }
        let is_behind_work = self.ahead.iter().any(|ahead| ahead.answer.is_none());
        Some(match () {
            () if is_behind_work => Violation::LostBehindWork,
            () if self.is_at_work_at_exit() => Violation::LostSentLate,
            () => Violation::Lost,
        })
    }

    fn lost_without_run(&self, closed_at: Duration, sent_at: Duration) -> Option<Violation> {
        let is_cut = |ahead: &&SentRequest| ahead.answer.is_none() && !ahead.runs.is_empty();
        let is_behind = |ahead: &&SentRequest| match &ahead.answer {
            Some(answer) => answer.at > self.request.began_at,
            None => true,
        };
        let has_time = closed_at < sent_at + self.request.allowed;
        match self.ahead.iter().any(is_behind) {
            false if closed_at > sent_at + LOSS_SLACK && has_time => Some(Violation::LostWaiting),
            false => None,
            true if self.ahead.iter().any(is_cut) => None,
            true if self.request.kind == Kind::Lookup => None,
            true => Some(Violation::Unannounced),
        }
    }

    /// Returns whether a request that ended without a server's answer at this moment is not counted.
    fn is_excused(&self, ended_at: Duration) -> bool {
        let request = self.request;
        let sent_at = request.sent_at.unwrap_or(Duration::MAX);
        let has_broken_off = |run: &Run| run.ended_with(RunEnd::BrokeOff);
        let is_timed_out = ended_at + TIME_SLACK >= sent_at + request.allowed;
        let was_sent_soon = sent_at <= self.history.stop_at.get() + EXCUSED_UNTIL;
        request.runs.iter().any(has_broken_off)
            || self.was_cut_off()
            || is_timed_out
            || was_sent_soon && self.is_at_work_at_exit()
    }

    /// Returns whether the path to a server was cut while it was at work.
    fn was_cut_off(&self) -> bool {
        let Some(cut_at) = self.history.cut_at.get() else {
            return false;
        };
        let mut runs = self.request.runs.iter();
        runs.any(|run| run.was_at_work(cut_at, cut_at + CUT_SLACK))
    }

    /// Returns whether the caller was reading the answer of this request, or one ahead of it, all the time.
    fn is_unread_by_caller(&self) -> bool {
        let slow_readers = self.history.slow_readers.borrow();
        let Some(waited_at) = slow_readers.get(&self.request.connection) else {
            return false;
        };
        let read_at = self
            .ahead
            .iter()
            .filter_map(|r| Some(r.answer.as_ref()?.at));
        let mut unread = self.ahead.iter().filter(|r| r.answer.is_none());
        let next = unread.next().unwrap_or(&self.request);
        let next_at = next.runs.iter().filter_map(Run::answered_at);
        let reads_since = read_at.chain(next_at).max().unwrap_or_default();
        *waited_at <= reads_since + SLOW_READ_INTERVAL
    }

    fn is_at_work_at_exit(&self) -> bool {
        let stop_at = self.history.stop_at.get();
        let (from, to) = (stop_at + LAST_SIXTH_AT, stop_at + GRACE);
        let mut runs = self.request.runs.iter();
        runs.any(|run| run.was_at_work(from, to))
    }

    /// Judges an answer of the VM itself in place of one at which a server was at work.
    fn replaced(&self) -> Option<Violation> {
        let answer = self.request.answer.as_ref()?;
        let runs = &self.request.runs;
        let has_failed = runs.iter().any(|run| run.ended_with(RunEnd::Failed));
        let is_excused = has_failed || self.is_excused(answer.at);
        if answer.is_of_server || !self.has_run() || is_excused {
            return None;
        }
        Some(match self.is_at_stopping_vm() {
            true => Violation::Replaced,
            false => Violation::CutBehindOtherVm,
        })
    }

    fn ran(&self) -> Option<Violation> {
        if self.request.kind == Kind::Lookup {
            return None;
        }
        match self.run_count() {
            0 => None,
            1 => self.is_behind_close().then_some(Violation::RanBehindClose),
            _ => Some(Violation::RanTwice),
        }
    }

    fn refused(&self) -> Option<Violation> {
        let answer = self.request.answer.as_ref()?;
        let is_refusal = matches!(answer.status, 408 | 421 | 429 | 503);
        (is_refusal && self.has_run()).then_some(Violation::RefusedThoughRun)
    }

    fn mixed(&self) -> Option<Violation> {
        let answer = self.request.answer.as_ref()?;
        (!answer.is_own || self.is_behind_close()).then_some(Violation::Mixed)
    }
}
