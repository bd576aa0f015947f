//! Quarantine of suspect requests, during which servers have crashed: whether a request may be sent, and what its runs
//! show.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::fingerprint::Fingerprint;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::quarantine::{Admission, Quarantine};
use kingcuploft::planted::{self, PlantedFault};

use super::active_request::ActiveRequest;
use crate::clock;
use crate::context::Context;
use crate::notice_writes::NoticeWrite;
use crate::notices;
use crate::upstream::crash_check::{self, CrashCheck};
use crate::upstream::{SuspectGuard, Upstream};

/// Whether a request may be sent.
pub(super) enum QuarantineDecision {
    Send,
    /// Another run of the same request is in flight at this VM.
    Wait,
    /// Servers crash when they run it; the caller may retry after this time.
    Refuse(Duration),
}

impl ActiveRequest<'_> {
    /// Returns whether the request may be sent.
    pub(super) async fn check_quarantine(&mut self) -> QuarantineDecision {
        let is_quarantine_empty = self.context.quarantine.borrow().is_empty();
        if self.is_trial || is_quarantine_empty || planted::is_on(PlantedFault::SendsSuspects) {
            return QuarantineDecision::Send;
        }
        let fingerprint = self.request.fingerprint();
        let admission = self
            .context
            .quarantine
            .borrow()
            .admit(clock::now(), fingerprint);
        match admission {
            // A run that hangs must not delay the others beyond the target latency.
            Admission::Wait if clock::now() < self.target_at => QuarantineDecision::Wait,
            Admission::Unrestricted | Admission::Exclusive | Admission::Wait => {
                QuarantineDecision::Send
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
                        QuarantineDecision::Send
                    }
                    false => QuarantineDecision::Refuse(Quarantine::trial_retry_delay()),
                }
            }
        }
    }

    /// Returns whether servers have crashed while they ran the request.
    pub(super) fn is_suspect(&self) -> bool {
        let quarantine = self.context.quarantine.borrow();
        !quarantine.is_empty() && quarantine.is_suspect(self.request.fingerprint())
    }

    /// Records how a run ended. `known_crashes` is the number of consecutive crashes that were known when the run
    /// started.
    pub(super) async fn record_run_end(
        &self,
        upstream: &Rc<Upstream>,
        end: AttemptEnd,
        known_crashes: u32,
    ) {
        match end {
            AttemptEnd::Succeeded if self.is_suspect() => self.clear_suspicion(),
            AttemptEnd::Lost => self.check_server_after_loss(upstream, known_crashes).await,
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

    /// Checks whether the server that lost an answer has crashed, and reports the crash to the other VMs if so.
    async fn check_server_after_loss(&self, upstream: &Rc<Upstream>, known_crashes: u32) {
        let found = crash_check::check(self.context, upstream).await;
        let fingerprint = self.request.fingerprint();
        let server = &upstream.server.name;
        let report = (found == CrashCheck::Ended).then(|| {
            notices::log_quarantine_change(self.context, fingerprint, || {
                let mut quarantine = self.context.quarantine.borrow_mut();
                quarantine.record_crash(clock::now(), fingerprint, server, known_crashes)
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
    _guard: Option<SuspectGuard>,
    /// How many consecutive crashes under the request were known when the run started.
    pub(super) known_crashes: u32,
}

impl<'a> SuspectRun<'a> {
    pub(super) fn begin(active: &ActiveRequest<'a>, upstream: &Rc<Upstream>) -> Self {
        let suspect = active.is_suspect();
        let fingerprint = suspect.then(|| active.request.fingerprint());
        let begins = |fp| active.context.quarantine.borrow_mut().record_start(fp);
        Self {
            context: active.context,
            known_crashes: fingerprint.map_or(0, begins),
            _guard: suspect.then(|| upstream.track_suspect()),
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
