//! A request under which servers ended: whether it is sent on, and what its runs tell.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptOutcome;
use kingcuploft::entry::fingerprint::Fingerprint;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::quarantine::{Admission, Quarantine};
use kingcuploft::planted::{self, Planted};

use super::flight::Flight;
use crate::clock;
use crate::context::Context;
use crate::notice_writes::Write;
use crate::notices;
use crate::upstream::after_loss::{self, AfterLoss};
use crate::upstream::{HoldsSuspect, Upstream};

/// Whether a request may be sent on.
pub(super) enum Clearance {
    Go,
    /// Another run of it is under way here.
    Wait,
    /// Servers end under it; the caller may come back after this time.
    Refuse(Duration),
}

impl Flight<'_> {
    /// Returns whether the request may be sent on.
    pub(super) async fn clearance(&mut self) -> Clearance {
        let knows_none = self.context.quarantine.borrow().is_empty();
        if self.is_trial || knows_none || planted::is_on(Planted::SendsSuspects) {
            return Clearance::Go;
        }
        let fingerprint = self.request.fingerprint();
        let admission = self
            .context
            .quarantine
            .borrow()
            .admit(clock::now(), fingerprint);
        match admission {
            // A run that hangs must not hold the others back until they are late.
            Admission::Wait if clock::now() < self.target => Clearance::Wait,
            Admission::Unrestricted | Admission::Exclusive | Admission::Wait => Clearance::Go,
            Admission::Refuse(after) => Clearance::Refuse(after),
            Admission::Trial(report) => {
                match self
                    .context
                    .notice_writes
                    .claim(Notice::Crash(report))
                    .await
                {
                    true => {
                        self.is_trial = true;
                        Clearance::Go
                    }
                    false => Clearance::Refuse(Quarantine::trial_retry_delay()),
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
    pub(super) async fn learn(&self, upstream: &Rc<Upstream>, end: AttemptOutcome, known: u32) {
        match end {
            AttemptOutcome::Succeeded if self.is_suspect() => self.clear(),
            AttemptOutcome::Lost => self.look_after_loss(upstream, known).await,
            _ => {}
        }
    }

    fn clear(&self) {
        let fingerprint = self.request.fingerprint();
        let ids = notices::logged(self.context, fingerprint, || {
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
    async fn look_after_loss(&self, upstream: &Rc<Upstream>, known: u32) {
        let found = after_loss::look(&*self.context.network, upstream).await;
        let fingerprint = self.request.fingerprint();
        let server = &upstream.server.name;
        let report = (found == AfterLoss::Ended).then(|| {
            notices::logged(self.context, fingerprint, || {
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
                .send(Write::Tell(Notice::Crash(report)));
        }
    }
}

/// A run of a request that may be suspect, until it ends.
pub(super) struct Run<'a> {
    context: &'a Context,
    fingerprint: Option<Fingerprint>,
    _held: Option<HoldsSuspect>,
    /// How many servers were known to have ended in a row under it.
    pub(super) known: u32,
}

impl<'a> Run<'a> {
    pub(super) fn begin(flight: &Flight<'a>, upstream: &Rc<Upstream>) -> Self {
        let suspect = flight.is_suspect();
        let fingerprint = suspect.then(|| flight.request.fingerprint());
        let begins = |fp| flight.context.quarantine.borrow_mut().record_start(fp);
        Self {
            context: flight.context,
            known: fingerprint.map_or(0, begins),
            _held: suspect.then(|| upstream.hold_suspect()),
            fingerprint,
        }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if let Some(fingerprint) = self.fingerprint {
            self.context.quarantine.borrow_mut().record_end(fingerprint);
        }
    }
}
