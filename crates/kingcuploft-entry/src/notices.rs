//! What the VMs tell each other through the platform's store: written there, taken in, passed on.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::fingerprint::Fingerprint;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::entry::quarantine::ReportStatus;
use kingcuploft::utils::HashSet;
use tokio::sync::mpsc;

use crate::clock;
use crate::context::Context;
use crate::limits;
use crate::notice_writes::Write;
use crate::peers::frame::Frame;
use crate::peers::standing::standing;
use crate::pulse::Pulse;
use crate::store::{Recorded, Store, StoreError};

/// The pause between two tries, at least; chance adds as much again.
const PAUSE: Duration = Duration::from_millis(500);

/// How often notices are looked for that are outdated.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Writes to the store until the process ends.
pub async fn write<S: Store>(
    context: Rc<Context>,
    store: Rc<S>,
    pulse: Rc<Pulse>,
    mut writes: mpsc::Receiver<Write>,
) {
    let is_there = || standing(&context, &pulse).store_there;
    while let Some(write) = writes.recv().await {
        match write {
            Write::Tell(notice) => {
                let holds = || holds(&context, &notice);
                if until_done(is_there, holds, || store.tell(&notice)).await {
                    told(&context, vec![notice]);
                }
            }
            // Whoever asked waits no longer.
            Write::Claim(_, claimed) if claimed.is_closed() => {}
            Write::Claim(notice, claimed) => {
                let written = store.tell(&notice).await;
                let is_first = matches!(written, Ok(Recorded::Done));
                if written.is_ok() {
                    told(&context, vec![notice]);
                }
                let _ = claimed.send(is_first);
            }
            Write::Withdraw(id) => {
                until_done(is_there, || true, || store.withdraw(&id)).await;
            }
        }
    }
}

/// Returns whether this VM still believes what a notice says.
fn holds(context: &Context, notice: &Notice) -> bool {
    match notice {
        Notice::Crash(report) => {
            let quarantine = context.quarantine.borrow();
            quarantine.is_suspect(report.fingerprint)
        }
        Notice::Limit(notice) => context.limits.borrow().per_s(&notice.server).is_some(),
    }
}

/// Calls the store whenever it is there until the call is done, and returns whether it was: no longer than it is of use.
async fn until_done<T, F: Future<Output = Result<T, StoreError>>>(
    is_there: impl Fn() -> bool,
    is_of_use: impl Fn() -> bool,
    mut call: impl FnMut() -> F,
) -> bool {
    let mut tries = 0;
    while is_of_use() {
        if is_there() {
            tries += 1;
            match call().await {
                Ok(_) => return true,
                Err(error) => tracing::warn!(event = "notice_not_written", tries, %error),
            }
        }
        tokio::time::sleep(PAUSE.mul_f64(1.0 + fastrand::f64())).await;
    }
    false
}

/// Forgets what is outdated until the process ends, and has a VM that reads the store withdraw it.
pub async fn tidy(context: Rc<Context>, pulse: Rc<Pulse>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let mut outdated = context.quarantine.borrow().expired_reports(clock::now());
        let is_in_use = |server: &str| context.servers(|servers| servers.takes_work(server));
        outdated.extend(context.limits.borrow_mut().retain_in_use(is_in_use));
        for id in outdated.into_iter().filter(|_| pulse.is_reading()) {
            withdraw(&context, id);
        }
    }
}

/// Takes in notices that the store has, and passes on what is news.
pub fn told(context: &Context, mut notices: Vec<Notice>) {
    let now = clock::now();
    notices.retain(|notice| match notice {
        Notice::Crash(report) => logged(context, report.fingerprint, || {
            let mut quarantine = context.quarantine.borrow_mut();
            quarantine.add_report(now, report) == ReportStatus::New
        }),
        Notice::Limit(notice) => limits::told(context, notice),
    });
    if !notices.is_empty() {
        context.followers.tell_notices(&Frame::Notices(notices));
    }
}

/// Takes in news of a request, and writes down whether it is refused from now on, or no longer.
pub fn logged<T>(context: &Context, fingerprint: Fingerprint, take: impl FnOnce() -> T) -> T {
    let is_refused = || context.quarantine.borrow().is_refused(fingerprint);
    let before = is_refused();
    let taken = take();
    match (before, is_refused()) {
        (false, true) => {
            tracing::info!(event = "quarantined", fingerprint = %format_args!("{fingerprint:016x}"));
        }
        (true, false) => {
            tracing::info!(event = "quarantine_ended", fingerprint = %format_args!("{fingerprint:016x}"));
        }
        _ => {}
    }
    taken
}

/// Takes in that notices are withdrawn, and passes it on: followers may know what this VM has forgotten already.
pub fn withdrawn(context: &Context, ids: Vec<NoticeId>) {
    for id in &ids {
        context.rewinds.withdrawn(clock::now(), id);
        match CrashReport::parse_id(id) {
            Some((fingerprint, _)) => logged(context, fingerprint, || {
                context.quarantine.borrow_mut().remove_report(id);
            }),
            None => limits::withdrawn(context, id),
        }
    }
    context.followers.tell_notices(&Frame::NoticesGone(ids));
}

/// Takes in which notices the store has at all, and passes them on. What a store lacks that came back from a copy is written
/// again by whoever reads it.
pub fn all_told(context: &Context, ids: impl Iterator<Item = NoticeId>) {
    let ids: HashSet<NoticeId> = ids.collect();
    if context.rewinds.is_recent(clock::now()) {
        let lost = stored(context).into_iter();
        let lost: Vec<Notice> = lost.filter(|notice| !ids.contains(&notice.id())).collect();
        if !lost.is_empty() {
            tracing::info!(event = "notices_written_again", count = lost.len());
        }
        for notice in lost {
            context.notice_writes.send(Write::Tell(notice));
        }
        return context
            .followers
            .tell_notices(&Frame::AllNotices(stored(context)));
    }
    take_all(context, &ids);
}

/// Takes in which notices there are by the VM that this one follows, and passes them on.
pub fn followed(context: &Context, ids: impl Iterator<Item = NoticeId>) {
    take_all(context, &ids.collect());
}

fn take_all(context: &Context, ids: &HashSet<NoticeId>) {
    context.quarantine.borrow_mut().remove_missing(ids);
    context.limits.borrow_mut().remove_missing(ids);
    let all = Frame::AllNotices(stored(context));
    context.followers.tell_notices(&all);
}

/// Has a notice withdrawn that holds no longer.
pub fn withdraw(context: &Context, id: NoticeId) {
    context.rewinds.withdrawn(clock::now(), &id);
    context.notice_writes.send(Write::Withdraw(id));
}

/// Returns all notices that the store has.
pub fn stored(context: &Context) -> Vec<Notice> {
    let quarantine = context.quarantine.borrow();
    let limits = context.limits.borrow();
    let of_requests = quarantine.stored_reports().map(Notice::Crash);
    let of_servers = limits.stored_notices().map(Notice::Limit);
    of_requests.chain(of_servers).collect()
}
