//! Notices, by which VMs inform each other through the platform's store of crashes and rate limits: written to the
//! store, applied, forwarded to followers.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::fingerprint::Fingerprint;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::entry::quarantine::ReportStatus;
use kingcuploft::utils::HashSet;
use tokio::sync::{Mutex, mpsc};

use crate::clock;
use crate::context::Context;
use crate::limits;
use crate::notice_writes::NoticeWrite;
use crate::peers::frame::Frame;
use crate::peers::sync_status::sync_status;
use crate::store::{Store, StoreError, WriteOutcome};
use crate::store_access::StoreAccess;

/// The shortest pause between two tries of a write; random jitter up to the same is added.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How often outdated notices are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Writes queued notices to the store until the process ends.
pub async fn write_to_store<S: Store>(
    context: Rc<Context>,
    store: Rc<S>,
    store_access: Rc<StoreAccess>,
    writes: Rc<Mutex<mpsc::Receiver<NoticeWrite>>>,
) {
    let mut writes = writes.lock().await;
    let is_store_available = || sync_status(&context, &store_access).store_reachable;
    while let Some(write) = writes.recv().await {
        match write {
            NoticeWrite::Create(notice) => {
                let holds = || still_holds(&context, &notice);
                if retry_until_done(is_store_available, holds, || store.create_notice(&notice))
                    .await
                {
                    apply_notices(&context, vec![notice]);
                }
            }
            // The request that asked for the claim no longer waits.
            NoticeWrite::Claim(_, claimed) if claimed.is_closed() => {}
            NoticeWrite::Claim(notice, claimed) => {
                let written = store.create_notice(&notice).await;
                let is_first = matches!(written, Ok(WriteOutcome::Done));
                if written.is_ok() {
                    apply_notices(&context, vec![notice]);
                }
                let _ = claimed.send(is_first);
            }
            NoticeWrite::Withdraw(id) => {
                retry_until_done(is_store_available, || true, || store.delete_notice(&id)).await;
            }
        }
    }
}

/// Returns whether this VM still believes what a notice says.
fn still_holds(context: &Context, notice: &Notice) -> bool {
    match notice {
        Notice::Crash(report) => {
            let quarantine = context.quarantine.borrow();
            quarantine.is_suspect(report.fingerprint)
        }
        Notice::Limit(notice) => context.limits.borrow().per_s(&notice.server).is_some(),
    }
}

/// Repeats a call to the store, whenever the store is available, until it succeeds or is no longer needed; returns
/// whether it succeeded.
async fn retry_until_done<T, F: Future<Output = Result<T, StoreError>>>(
    is_store_available: impl Fn() -> bool,
    is_needed: impl Fn() -> bool,
    mut call: impl FnMut() -> F,
) -> bool {
    let mut tries = 0;
    while is_needed() {
        if is_store_available() {
            tries += 1;
            match call().await {
                Ok(_) => return true,
                Err(error) => tracing::warn!(event = "notice_not_written", tries, %error),
            }
        }
        tokio::time::sleep(MIN_RETRY_PAUSE.mul_f64(1.0 + fastrand::f64())).await;
    }
    false
}

/// Forgets outdated notices until the process ends; a VM that reads the store also deletes them there.
pub async fn expire_outdated(context: Rc<Context>, store_access: Rc<StoreAccess>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let mut outdated = context.quarantine.borrow().expired_reports(clock::now());
        let is_in_use =
            |server: &str| context.with_servers(|servers| servers.may_be_in_use_anywhere(server));
        outdated.extend(context.limits.borrow_mut().retain_in_use(is_in_use));
        for id in outdated.into_iter().filter(|_| store_access.is_reading()) {
            withdraw(&context, id);
        }
    }
}

/// Applies notices from the store, and forwards those that are new.
pub fn apply_notices(context: &Context, mut notices: Vec<Notice>) {
    let now = clock::now();
    notices.retain(|notice| match notice {
        Notice::Crash(report) => log_quarantine_change(context, report.fingerprint, || {
            let mut quarantine = context.quarantine.borrow_mut();
            quarantine.add_report(now, report) == ReportStatus::New
        }),
        Notice::Limit(notice) => limits::apply_notice(context, notice),
    });
    if !notices.is_empty() {
        context.followers.send_notices(&Frame::Notices(notices));
    }
}

/// Calls `apply`, which changes what is known of a request, and logs whether that started or ended the request's
/// quarantine.
pub fn log_quarantine_change<T>(
    context: &Context,
    fingerprint: Fingerprint,
    apply: impl FnOnce() -> T,
) -> T {
    let is_refused = || context.quarantine.borrow().is_refused(fingerprint);
    let before = is_refused();
    let result = apply();
    match (before, is_refused()) {
        (false, true) => {
            tracing::info!(event = "quarantined", fingerprint = %format_args!("{fingerprint:016x}"));
        }
        (true, false) => {
            tracing::info!(event = "quarantine_ended", fingerprint = %format_args!("{fingerprint:016x}"));
        }
        _ => {}
    }
    result
}

/// Applies the withdrawal of notices, and forwards it always: followers may still know what this VM has forgotten.
pub fn apply_withdrawals(context: &Context, ids: Vec<NoticeId>) {
    for id in &ids {
        context.rewinds.note_withdrawn(clock::now(), id);
        match CrashReport::parse_id(id) {
            Some((fingerprint, _)) => log_quarantine_change(context, fingerprint, || {
                context.quarantine.borrow_mut().remove_report(id);
            }),
            None => limits::apply_withdrawal(context, id),
        }
    }
    context.followers.send_notices(&Frame::NoticesGone(ids));
}

/// Applies the complete list of notice ids in the store, and forwards it. After the store was restored from an older
/// copy, notices that it lacks are written again by the VMs that read it.
pub fn apply_stored_ids(context: &Context, ids: impl Iterator<Item = NoticeId>) {
    let ids: HashSet<NoticeId> = ids.collect();
    if context.rewinds.may_lack_writes(clock::now()) {
        let lost = stored(context).into_iter();
        let lost: Vec<Notice> = lost.filter(|notice| !ids.contains(&notice.id())).collect();
        if !lost.is_empty() {
            tracing::info!(event = "notices_written_again", count = lost.len());
        }
        for notice in lost {
            context.notice_writes.send(NoticeWrite::Create(notice));
        }
        return context
            .followers
            .send_notices(&Frame::AllNotices(stored(context)));
    }
    apply_ids(context, &ids);
}

/// Applies the complete list of notice ids from the feeder, and forwards it.
pub fn apply_feeder_ids(context: &Context, ids: impl Iterator<Item = NoticeId>) {
    apply_ids(context, &ids.collect());
}

fn apply_ids(context: &Context, ids: &HashSet<NoticeId>) {
    context.quarantine.borrow_mut().remove_missing(ids);
    context.limits.borrow_mut().remove_missing(ids);
    let all = Frame::AllNotices(stored(context));
    context.followers.send_notices(&all);
}

/// Queues the deletion of a notice that no longer holds.
pub fn withdraw(context: &Context, id: NoticeId) {
    context.rewinds.note_withdrawn(clock::now(), &id);
    context.notice_writes.send(NoticeWrite::Withdraw(id));
}

/// Returns all notices that the store has.
pub fn stored(context: &Context) -> Vec<Notice> {
    let quarantine = context.quarantine.borrow();
    let limits = context.limits.borrow();
    let of_requests = quarantine.stored_reports().map(Notice::Crash);
    let of_servers = limits.stored_notices().map(Notice::Limit);
    of_requests.chain(of_servers).collect()
}
