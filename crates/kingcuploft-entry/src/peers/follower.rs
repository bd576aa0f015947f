//! The follower's side of a link: replicates the platform's store from another VM, the feeder, instead of reading the
//! store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::change_assembly::PartOutcome;
use kingcuploft::entry::configuration_change::ChangePart;
use kingcuploft::entry::dissemination;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::entry::vm_entry::VmEntry;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

use super::dial::Dial;
use super::frame::{Frame, Hello, PROTOCOL_VERSION, SyncStatus};
use super::lines::{LineError, Lines};
use super::link_error::LinkError;
use super::transfer::Transfer;
use crate::clock;
use crate::context::{Context, FeedRequest};
use crate::evacuation;
use crate::notices;
use crate::server_updates;
use crate::store::Collection;
use crate::store_access::StoreAccess;
use crate::store_watcher;

/// How long opening a link may take for a VM that has recent knowledge of the store.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The same for a VM that is not ready and refuses callers meanwhile: a running VM of the zone answers within some
/// milliseconds, and one without power does not even refuse the connection.
const CONNECT_TIMEOUT_NOT_READY: Duration = Duration::from_millis(20);

/// How long a feeder may send nothing: two heartbeats and a bit. A change that was missed is then read from the store
/// within some tenths of a second, well within the 2 s in which a leaving server must get no new work.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(650);

/// The least length of a line that is logged with the time that it took to arrive.
const LONG_LINE_BYTES: usize = 16 * 1024;

/// Whether a link delivered a snapshot before it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkOutcome {
    /// It did, and fed this VM.
    Fed,
    /// It did not.
    NotFed,
}

/// How a link ended.
#[derive(Debug)]
pub struct LinkEnd {
    /// The reason.
    pub why: LinkError,
    /// Whether it had fed this VM.
    pub outcome: LinkOutcome,
}

/// Follows a VM until the link ends. From the end of the snapshot until then, this VM does not read the store.
pub async fn follow(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> LinkEnd {
    let _guard = FollowingGuard(context);
    note_answer(context, feeder, "none yet");
    let result = run_link(context, store_access, own, feeder, network).await;
    note_answer(
        context,
        feeder,
        result.as_ref().err().map_or("closed", LinkError::label),
    );
    let outcome = match context.feeder.borrow().is_some() {
        true => LinkOutcome::Fed,
        false => LinkOutcome::NotFed,
    };
    LinkEnd {
        why: result.err().unwrap_or(LinkError::Closed),
        outcome,
    }
}

/// Resets what the context holds of the feeder once the link ends, also where the future that follows it is dropped.
struct FollowingGuard<'a>(&'a Context);

impl Drop for FollowingGuard<'_> {
    fn drop(&mut self) {
        self.0.feeder.borrow_mut().take();
        self.0.feed_path.borrow_mut().clear();
        self.0.feed_promised.set(false);
        self.0.snapshot_begun.set(false);
        self.0.reader_has_store.set(true);
    }
}

/// Records what a VM has answered to the request to feed this one.
fn note_answer(context: &Context, feeder: &VmEntry, answer: &'static str) {
    let vm = feeder.name.clone();
    context
        .last_feed_request
        .replace(Some(FeedRequest { vm, answer }));
}

/// Opens a link and serves both of its directions until it ends.
async fn run_link(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> Result<(), LinkError> {
    let timeout = match context.is_ready() {
        true => CONNECT_TIMEOUT,
        false => CONNECT_TIMEOUT_NOT_READY,
    };
    let stream = open_link(feeder, network, timeout).await?;
    let (read, mut write) = tokio::io::split(stream);
    let hello = Frame::Hello(hello(context, own));
    write.write_all(&hello.to_line()).await?;
    let lines = Lines::new(read);
    tokio::select! {
        biased;
        result = receive(context, store_access, feeder, lines) => result,
        result = report_to_feeder(context, write) => result,
    }
}

pub(super) async fn open_link<D: Dial>(
    to: &VmEntry,
    network: &D,
    timeout: Duration,
) -> Result<D::Link, LinkError> {
    let connecting = tokio::time::timeout(timeout, network.dial(to.address));
    Ok(connecting.await.map_err(|_| LinkError::Unreachable)??)
}

/// Returns what this VM says of itself to one that it asks to feed it.
pub(super) fn hello(context: &Context, own: &VmEntry) -> Hello {
    Hello {
        vm: own.clone(),
        configuration: context.whole_position(Collection::Configuration),
        servers: context.whole_position(Collection::BackendServers),
        evacuations: context.whole_position(Collection::Evacuations),
        descendants: context.followers.descendants(&context.settings.zone),
        version: context.active_configuration.delta_base(),
        arrived: context.active_configuration.arrival_progress(),
        servers_digest: Some(context.with_servers(|servers| servers.digest())),
        protocol_version: PROTOCOL_VERSION,
    }
}

/// Reports to the feeder, until the link fails: how many VMs are fed through this one, each time that changes; this
/// VM's configuration, if the feeder asks for it; and that a follower is ahead.
async fn report_to_feeder(
    context: &Context,
    mut stream: impl AsyncWrite + Unpin,
) -> Result<(), LinkError> {
    let mut reported = context.followers.descendants(&context.settings.zone);
    loop {
        let changed = context.followers.changed.notified();
        let descendants = context.followers.descendants(&context.settings.zone);
        if descendants != reported {
            reported = descendants;
            stream
                .write_all(&Frame::Descendants(descendants).to_line())
                .await?;
        }
        tokio::select! {
            biased;
            () = changed => {}
            () = context.feeder_outdated.notified() => send_configuration(context, &mut stream).await?,
            () = context.follower_ahead.notified() => stream.write_all(&Frame::FollowerAhead.to_line()).await?,
        }
    }
}

/// Sends the feeder the configuration in force, as it knows an older one.
async fn send_configuration(
    context: &Context,
    stream: &mut (impl AsyncWrite + Unpin),
) -> std::io::Result<()> {
    let Some(configuration) = context.configuration() else {
        return Ok(());
    };
    let full = Frame::Configuration(Box::new((*configuration).clone()));
    stream.write_all(&full.to_line()).await
}

/// Applies what the feeder sends, until the link ends.
async fn receive(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    feeder: &VmEntry,
    mut lines: Lines<impl AsyncRead + Unpin>,
) -> Result<(), LinkError> {
    let mut has_snapshot = false;
    let mut transfer = Transfer::default();
    let mut pending_status: Option<SyncStatus> = None;
    loop {
        let Some(frame) = next_frame(&mut lines).await? else {
            return Ok(());
        };
        match frame {
            Frame::Wait if context.is_ready() => return Err(LinkError::Behind),
            Frame::Wait => {
                note_answer(context, feeder, "wait");
                context.feed_promised.set(true);
            }
            Frame::Status(status) => {
                if let Some(era) = status.era() {
                    store_watcher::note_era(context, era);
                }
                check_feeder(context, store_access, &status)?;
                match has_snapshot {
                    true => apply_status(context, status),
                    false => {
                        // The snapshot is on its way, however long it takes.
                        context.snapshot_begun.set(true);
                        pending_status = Some(status);
                    }
                }
            }
            Frame::Redirect(vm) => return Err(LinkError::Redirected(vm)),
            Frame::SnapshotEnd => {
                if let Some(status) = pending_status.take() {
                    apply_status(context, status);
                }
                has_snapshot = true;
                note_answer(context, feeder, "fed");
                store_access.stop_reading();
                context.readers.borrow_mut().record_answer(&feeder.name);
                *context.feeder.borrow_mut() = Some(feeder.clone());
                tracing::info!(
                    event = "following",
                    reader = %feeder.name,
                    steps = context.feed_path.borrow().len()
                );
            }
            Frame::Part(part) => {
                transfer.add_line(&lines);
                apply_part(context, *part, &mut transfer)?;
            }
            frame => apply(context, frame)?,
        }
    }
}

/// Returns the next frame, or `None` at the end of the link.
pub(super) async fn next_frame(
    lines: &mut Lines<impl AsyncRead + Unpin>,
) -> Result<Option<Frame>, LinkError> {
    let frame = match lines.next(SILENCE_TIMEOUT).await {
        Ok(Some(line)) => serde_json::from_slice(line)?,
        Ok(None) => return Ok(None),
        Err(LineError::Io(error)) => return Err(error.into()),
        Err(LineError::TimedOut) => {
            return Err(LinkError::Silent {
                silent_for: lines.silent_for(),
                partial_bytes: lines.partial_bytes(),
            });
        }
    };
    let (bytes, duration) = lines.last_line();
    if bytes >= LONG_LINE_BYTES {
        let took_ms = duration.as_millis() as u64;
        tracing::info!(event = "long_line", bytes, took_ms);
    }
    Ok(Some(frame))
}

/// Checks whether the feeder may still be followed: it must not be fed through this VM, not be behind it, and have the
/// store if this VM has.
fn check_feeder(
    context: &Context,
    store_access: &StoreAccess,
    status: &SyncStatus,
) -> Result<(), LinkError> {
    if dissemination::has_cycle(&context.settings.vm, &status.path) {
        return Err(LinkError::Cycle);
    }
    let own = SyncStatus {
        configuration: context.whole_position(Collection::Configuration),
        servers: context.whole_position(Collection::BackendServers),
        evacuations: context.whole_position(Collection::Evacuations),
        knows_workspaces: true,
        store_reachable: true,
        path: Vec::new(),
    };
    if status.is_behind(&own) {
        return Err(LinkError::Behind);
    }
    let has_store = store_access.is_reading() && store_access.is_available();
    if !status.store_reachable && has_store && context.is_ready() {
        return Err(LinkError::StoreUnreachable);
    }
    Ok(())
}

/// Adopts the feeder's revisions as this VM's own: all changes up to them have been applied.
fn apply_status(context: &Context, status: SyncStatus) {
    adopt_positions(context, &status);
    context.reader_has_store.set(status.store_reachable);
    let mut contact = context.store_contact.get();
    contact.feeder_has_store(status.store_reachable);
    context.store_contact.set(contact);
    *context.feed_path.borrow_mut() = status.path;
}

fn adopt_positions(context: &Context, status: &SyncStatus) {
    for collection in Collection::ROUTED_BY {
        if let Some(revision) = status.position(collection) {
            context.note_complete(collection);
            context.set_position(collection, revision);
        }
    }
}

pub(super) fn apply(context: &Context, frame: Frame) -> Result<(), LinkError> {
    let now = clock::now();
    match frame {
        Frame::Configuration(configuration) => {
            store_watcher::adopt_configuration(context, *configuration)
        }
        Frame::NewerVersion(version) => store_watcher::note_configuration_version(context, version),
        Frame::Server(server) => server_updates::apply_servers(context, now, vec![server]),
        Frame::Servers(table) => server_updates::apply_servers(context, now, table.servers()?),
        Frame::ServerGone(name) => server_updates::apply_removals(context, now, vec![name]),
        Frame::ServersGone(names) => server_updates::apply_removals(context, now, names),
        Frame::AllServers(table) => replace_servers(context, now, table)?,
        Frame::ServersListed => context.set_servers_listed(),
        Frame::Zones(records) => store_watcher::apply_zone_records(context, records),
        Frame::Notices(notices) => notices::apply_notices(context, notices),
        Frame::NoticesGone(ids) => notices::apply_withdrawals(context, ids),
        Frame::AllNotices(notices) => {
            let ids: Vec<NoticeId> = notices.iter().map(Notice::id).collect();
            notices::apply_notices(context, notices);
            notices::apply_feeder_ids(context, ids.into_iter());
        }
        Frame::Evacuations(zones) => evacuation::apply_feeder_list(context, zones),
        Frame::Era(era) => store_watcher::note_era(context, era),
        Frame::ConfigurationRequest => context.feeder_outdated.notify_one(),
        Frame::StoreReturned => store_watcher::apply_store_return(context, Duration::ZERO),
        Frame::StoreReturnedAgo(ms) => {
            store_watcher::apply_store_return(context, Duration::from_millis(ms));
        }
        Frame::Hello(_)
        | Frame::SnapshotRequest(_)
        | Frame::Informed(_)
        | Frame::ZonesRequest
        | Frame::Descendants(_)
        | Frame::FollowerAhead
        | Frame::Status(_)
        | Frame::Wait
        | Frame::Alive
        | Frame::Part(_)
        | Frame::Redirect(_)
        | Frame::SnapshotEnd => {}
    }
    Ok(())
}

pub(super) fn apply_part(
    context: &Context,
    part: ChangePart,
    transfer: &mut Transfer,
) -> Result<(), LinkError> {
    match context.active_configuration.add_part(part)? {
        PartOutcome::Incomplete | PartOutcome::AlreadyApplied => Ok(()),
        PartOutcome::Complete(configuration) => {
            transfer.log_complete(configuration.version);
            store_watcher::adopt_configuration(context, *configuration);
            Ok(())
        }
        PartOutcome::Mismatch => Err(LinkError::VersionMismatch),
    }
}

fn replace_servers(context: &Context, now: Instant, table: ServerTable) -> Result<(), LinkError> {
    let servers: Vec<BackendServer> = table.servers()?;
    let names: Vec<String> = servers.iter().map(|s| s.name.to_string()).collect();
    server_updates::apply_full_list(context, now, servers, &names);
    Ok(())
}
