//! Reports of servers that ended under requests: written to the platform's store, taken in, passed on.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::crash_report::{CrashReport, ReportId};
use kingcuploft::entry::quarantine::Told;
use kingcuploft::utils::HashSet;
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::context::Context;
use crate::peers::frame::Frame;
use crate::pulse::Pulse;
use crate::store::{Recorded, Store, StoreError};

/// How many writes may wait; what is more is known to this VM alone.
const MOST_WAITING: usize = 256;

/// How often a write is tried, and the pause between: what the store takes seconds later is of use still.
const MOST_TRIES: u32 = 20;
const PAUSE: Duration = Duration::from_millis(500);

/// How often reports are looked for that are outdated.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// What is written to the store.
#[derive(Debug)]
pub enum Write {
    /// A report of an end.
    Report(CrashReport),
    /// A report of a trial; whoever writes it first is told so, and may try.
    Claim(CrashReport, oneshot::Sender<bool>),
    /// A report is withdrawn.
    Withdraw(ReportId),
}

/// Returns the way to the writer, and what it takes from there.
pub fn channel() -> (mpsc::Sender<Write>, mpsc::Receiver<Write>) {
    mpsc::channel(MOST_WAITING)
}

/// Writes to the store until the process ends.
pub async fn write<S: Store>(
    context: Rc<Context>,
    store: Rc<S>,
    mut writes: mpsc::Receiver<Write>,
) {
    while let Some(write) = writes.recv().await {
        match write {
            Write::Report(report) => {
                let written = in_tries(|| store.report_crash(&report)).await;
                if written.is_some() {
                    told(&context, vec![report]);
                }
            }
            Write::Claim(report, claimed) => {
                let first = store.report_crash(&report).await;
                let first = matches!(first, Ok(Recorded::Done));
                told(&context, vec![report]);
                let _ = claimed.send(first);
            }
            Write::Withdraw(id) => {
                let _ = in_tries(|| store.withdraw_report(&id)).await;
            }
        }
    }
}

async fn in_tries<T, F: Future<Output = Result<T, StoreError>>>(
    mut call: impl FnMut() -> F,
) -> Option<T> {
    for tries in 1..=MOST_TRIES {
        match call().await {
            Ok(done) => return Some(done),
            Err(error) => tracing::warn!(event = "crash_report_not_written", tries, %error),
        }
        tokio::time::sleep(PAUSE.mul_f64(1.0 + fastrand::f64())).await;
    }
    None
}

/// Has a VM that reads the store withdraw what is outdated, until the process ends.
pub async fn tidy(context: Rc<Context>, pulse: Rc<Pulse>) {
    loop {
        pulse.reading().await;
        tokio::time::sleep(LOOK_EVERY).await;
        let outdated = context.quarantine.borrow().outdated(clock::now());
        for id in outdated {
            send(&context, Write::Withdraw(id));
        }
    }
}

/// Has something written.
pub fn send(context: &Context, write: Write) {
    let Some(writes) = context.crash_writes.get() else {
        return;
    };
    if writes.try_send(write).is_err() {
        tracing::warn!(event = "crash_report_left_out");
    }
}

/// Asks for leave to try a request; returns whether this VM may.
pub async fn claim(context: &Context, report: CrashReport) -> bool {
    let (claimed, answer) = oneshot::channel();
    send(context, Write::Claim(report, claimed));
    answer.await.unwrap_or(false)
}

/// Takes in reports that the store has, and passes on what is news.
pub fn told(context: &Context, mut reports: Vec<CrashReport>) {
    let now = clock::now();
    let mut quarantine = context.quarantine.borrow_mut();
    reports.retain(|report| quarantine.told(now, report) == Told::News);
    drop(quarantine);
    if !reports.is_empty() {
        context
            .followers
            .tell_reports(&Frame::CrashReports(reports));
    }
}

/// Takes in that reports are withdrawn, and passes on what is news.
pub fn withdrawn(context: &Context, mut ids: Vec<ReportId>) {
    let mut quarantine = context.quarantine.borrow_mut();
    ids.retain(|id| quarantine.withdrawn(id));
    drop(quarantine);
    pass_on_withdrawn(context, ids);
}

/// Takes in which reports the store has at all, and passes on which it has no longer.
pub fn all_told(context: &Context, ids: impl Iterator<Item = ReportId>) {
    let ids: HashSet<ReportId> = ids.collect();
    let gone = context.quarantine.borrow_mut().all_told(&ids);
    pass_on_withdrawn(context, gone);
}

fn pass_on_withdrawn(context: &Context, ids: Vec<ReportId>) {
    if !ids.is_empty() {
        context
            .followers
            .tell_reports(&Frame::CrashReportsGone(ids));
    }
}
