//! A request under which servers ended: whether it is sent on, and what its runs tell.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::fingerprint::Fingerprint;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::quarantine::{Admission, Quarantine};
use kingcuploft::planted::{self, Planted};

use super::active_request::ActiveRequest;
use crate::clock;
use crate::context::Context;
use crate::notice_writes::NoticeWrite;
use crate::notices;
use crate::upstream::crash_check::{self, CrashCheck};
use crate::upstream::{SuspectGuard, Upstream};

/// Whether a request may be sent on.
pub(super) enum QuarantineDecision {
    Go,
    /// Another run of it is under way here.
    Wait,
    /// Servers end under it; the caller may come back after this time.
    Refuse(Duration),
}

impl ActiveRequest<'_> {
    /// Returns whether the request may be sent on.
    pub(super) async fn check_quarantine(&mut self) -> QuarantineDecision {
        let knows_none = self.context.quarantine.borrow().is_empty();
        if self.is_trial || knows_none || planted::is_on(Planted::SendsSuspects) {
            return QuarantineDecision::Go;
        }
        let fingerprint = self.request.fingerprint();
        let admission = self
            .context
            .quarantine
            .borrow()
            .admit(clock::now(), fingerprint);
        match admission {
            // A run that hangs must not hold the others back until they are late.
            Admission::Wait if clock::now() < self.target => QuarantineDecision::Wait,
            Admission::Unrestricted | Admission::Exclusive | Admission::Wait => {
                QuarantineDecision::Go
            }
            Admission::Refuse(after) => QuarantineDecision::Refuse(after),
            Admission::Trial(report) => {
                match self
                    .context
                    .notice_writes
                    .claim(Notice::Crash(report))
                    .await
                {
                    true => {
                        self.is_trial = true;
                        QuarantineDecision::Go
                    }
                    false => QuarantineDecision::Refuse(Quarantine::trial_retry_delay()),
                }
            }
        }
    }

    /// Returns whether servers have ended under the request.
    pub(super) fn is_suspect(&self) -> bool {
        let quarantine = self.context.quarantine.borrow();
        !quarantine.is_empty() && quarantine.is_suspect(self.request.fingerprint())
    }

    /// Takes in how a run ended that began when so many ends in a row were known.
    pub(super) async fn record_run_end(
        &self,
        upstream: &Rc<Upstream>,
        end: AttemptEnd,
        known: u32,
    ) {
        match end {
            AttemptEnd::Succeeded if self.is_suspect() => self.clear_suspicion(),
            AttemptEnd::Lost => self.check_server_after_loss(upstream, known).await,
            _ => {}
        }
    }

    fn clear_suspicion(&self) {
        let fingerprint = self.request.fingerprint();
        let ids = notices::log_quarantine_change(self.context, fingerprint, || {
            self.context.quarantine.borrow_mut().clear(fingerprint)
        });
        tracing::info!(
            event = "suspect_cleared",
            request = self.request.id,
            fingerprint = %format_args!("{fingerprint:016x}"),
        );
        for id in ids {
            notices::withdraw(self.context, id);
        }
    }

    /// Looks whether a server has ended that lost an answer, and tells the others if so.
    async fn check_server_after_loss(&self, upstream: &Rc<Upstream>, known: u32) {
        let found = crash_check::check(&*self.context.network, upstream).await;
        let fingerprint = self.request.fingerprint();
        let server = &upstream.server.name;
        let report = (found == CrashCheck::Ended).then(|| {
            notices::log_quarantine_change(self.context, fingerprint, || {
                let mut quarantine = self.context.quarantine.borrow_mut();
                quarantine.record_crash(clock::now(), fingerprint, server, known)
            })
        });
        tracing::info!(
            event = "answer_lost",
            request = self.request.id,
            fingerprint = %format_args!("{fingerprint:016x}"),
            %server,
            found = found.label(),
            in_a_row = report.as_ref().map(|report| report.in_a_row),
        );
        if let Some(report) = report {
            self.context
                .notice_writes
                .send(NoticeWrite::Create(Notice::Crash(report)));
        }
    }
}

/// A run of a request that may be suspect, until it ends.
pub(super) struct SuspectRun<'a> {
    context: &'a Context,
    fingerprint: Option<Fingerprint>,
    _held: Option<SuspectGuard>,
    /// How many servers were known to have ended in a row under it.
    pub(super) known_ends: u32,
}

impl<'a> SuspectRun<'a> {
    pub(super) fn begin(active: &ActiveRequest<'a>, upstream: &Rc<Upstream>) -> Self {
        let suspect = active.is_suspect();
        let fingerprint = suspect.then(|| active.request.fingerprint());
        let begins = |fp| active.context.quarantine.borrow_mut().record_start(fp);
        Self {
            context: active.context,
            known_ends: fingerprint.map_or(0, begins),
            _held: suspect.then(|| upstream.track_suspect()),
            fingerprint,
        }
    }
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        if let Some(fingerprint) = self.fingerprint {
            self.context.quarantine.borrow_mut().record_end(fingerprint);
        }
    }
}
