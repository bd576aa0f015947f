//! The follower's side of a link: learns from another VM what the store holds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::change_assembly::PartOutcome;
use kingcuploft::entry::configuration::ConfigurationVersion;
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
use crate::clock;
use crate::context::Context;
use crate::evacuation;
use crate::notices;
use crate::server_updates;
use crate::store::Collection;
use crate::store_access::StoreAccess;
use crate::store_watcher;

/// How long a link may take to be opened by a VM that knows what the store held a moment ago.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The same for a VM that knows nothing, and refuses callers meanwhile: a VM of the zone that runs answers
/// within some milliseconds, and one that has no power does not even refuse.
const CONNECT_TIMEOUT_NOT_READY: Duration = Duration::from_millis(20);

/// How long a feeder may be silent: two heartbeats and a bit. A change that it missed is then read
/// from the store within some tenths of a second, well within the 2 s of a leaving server.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(650);

/// From which length on a line is logged with the time that it took.
const LONG_LINE_BYTES: usize = 16 * 1024;

/// Whether a link came to feed this VM before it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkOutcome {
    /// It did.
    Fed,
    /// It did not.
    NotFed,
}

/// How a link ended.
#[derive(Debug)]
pub struct LinkEnd {
    /// Why.
    pub why: LinkError,
    /// Whether it fed this VM.
    pub outcome: LinkOutcome,
}

/// Follows a VM until the link ends. While all that it knows has been told and it goes on telling, this VM does not
/// read the store.
pub async fn follow(
    context: &Rc<Context>,
    pulse: &StoreAccess,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> LinkEnd {
    let _guard = FollowingGuard(context);
    let ended = run_link(context, pulse, own, feeder, network).await;
    let outcome = match context.feeder.borrow().is_some() {
        true => LinkOutcome::Fed,
        false => LinkOutcome::NotFed,
    };
    LinkEnd {
        why: ended.err().unwrap_or(LinkError::Closed),
        outcome,
    }
}

/// What holds while a VM is followed, and no longer, also where following is broken off.
struct FollowingGuard<'a>(&'a Context);

impl Drop for FollowingGuard<'_> {
    fn drop(&mut self) {
        self.0.feeder.borrow_mut().take();
        self.0.feed_path.borrow_mut().clear();
        self.0.feed_promised.set(false);
        self.0.reader_has_store.set(true);
    }
}

async fn run_link(
    context: &Rc<Context>,
    pulse: &StoreAccess,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> Result<(), LinkError> {
    let timeout = match context.is_ready() {
        true => CONNECT_TIMEOUT,
        false => CONNECT_TIMEOUT_NOT_READY,
    };
    let connecting = tokio::time::timeout(timeout, network.dial(feeder.address));
    let stream = connecting.await.map_err(|_| LinkError::Unreachable)??;
    let (read, mut write) = tokio::io::split(stream);
    let hello = Frame::Hello(Hello {
        vm: own.clone(),
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        descendants: context.followers.descendants(&context.settings.zone),
        version: context.active_configuration.delta_base(),
        arrived: context.active_configuration.arrival_progress(),
        servers_digest: Some(context.with_servers(|servers| servers.digest())),
        protocol_version: PROTOCOL_VERSION,
    });
    write.write_all(&hello.to_line()).await?;
    let lines = Lines::new(read);
    tokio::select! {
        biased;
        ended = receive(context, pulse, feeder, lines) => ended,
        ended = report_descendants(context, write) => ended,
    }
}

/// Tells the feeder how many VMs are fed through this one, each time that changes, and that one is ahead.
async fn report_descendants(
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

/// Tells the feeder the configuration in force, of which it knows an older one.
async fn send_configuration(
    context: &Context,
    stream: &mut (impl AsyncWrite + Unpin),
) -> std::io::Result<()> {
    let Some(configuration) = context.configuration() else {
        return Ok(());
    };
    let whole = Frame::Configuration(Box::new((*configuration).clone()));
    stream.write_all(&whole.to_line()).await
}

async fn receive(
    context: &Rc<Context>,
    pulse: &StoreAccess,
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
            Frame::Wait => context.feed_promised.set(true),
            Frame::Status(status) => {
                if let Some(era) = status.era() {
                    store_watcher::note_era(context, era);
                }
                check_feeder(context, pulse, &status)?;
                match has_snapshot {
                    true => apply_status(context, status),
                    false => pending_status = Some(status),
                }
            }
            Frame::Redirect(vm) => return Err(LinkError::Redirected(vm)),
            Frame::SnapshotEnd => {
                if let Some(status) = pending_status.take() {
                    apply_status(context, status);
                }
                has_snapshot = true;
                pulse.stop_reading();
                context.readers.borrow_mut().record_answer(&feeder.name);
                *context.feeder.borrow_mut() = Some(feeder.clone());
                tracing::info!(
                    event = "following",
                    reader = %feeder.name,
                    steps = context.feed_path.borrow().len()
                );
            }
            Frame::Part(part) => {
                transfer.add(&lines);
                apply_part(context, *part, &mut transfer)?;
            }
            frame => apply(context, frame)?,
        }
    }
}

/// The parts of a configuration that have come over one link.
#[derive(Debug, Default)]
struct Transfer {
    parts: u32,
    bytes: usize,
    began: Option<Instant>,
}

impl Transfer {
    /// Counts the line that was read last.
    fn add<R: AsyncRead + Unpin>(&mut self, lines: &Lines<R>) {
        let (bytes, took) = lines.last_line();
        let began = clock::now().checked_sub(took);
        self.began = self.began.or(began);
        self.parts += 1;
        self.bytes += bytes;
    }

    /// Writes down that the configuration is whole.
    fn end(&mut self, version: ConfigurationVersion) {
        let Self {
            parts,
            bytes,
            began,
        } = std::mem::take(self);
        let took = began.map(|began| clock::now().saturating_duration_since(began));
        let took_ms = took.unwrap_or_default().as_millis() as u64;
        tracing::info!(
            event = "configuration_arrived",
            version,
            parts,
            bytes,
            took_ms
        );
    }
}

/// Returns what a feeder tells next, or `None` at the end of the link.
async fn next_frame(lines: &mut Lines<impl AsyncRead + Unpin>) -> Result<Option<Frame>, LinkError> {
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
    let (bytes, took) = lines.last_line();
    if bytes >= LONG_LINE_BYTES {
        let took_ms = took.as_millis() as u64;
        tracing::info!(event = "long_line", bytes, took_ms);
    }
    Ok(Some(frame))
}

/// Checks whether the feeder may still be followed.
fn check_feeder(
    context: &Context,
    pulse: &StoreAccess,
    status: &SyncStatus,
) -> Result<(), LinkError> {
    if dissemination::has_cycle(&context.settings.vm, &status.path) {
        return Err(LinkError::Cycle);
    }
    let own = SyncStatus {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        store_reachable: true,
        path: Vec::new(),
    };
    if status.is_behind(&own) {
        return Err(LinkError::Behind);
    }
    let has_store = pulse.is_reading() && pulse.is_available();
    if !status.store_reachable && has_store && context.is_ready() {
        return Err(LinkError::StoreUnreachable);
    }
    Ok(())
}

fn apply_status(context: &Context, status: SyncStatus) {
    if let Some(revision) = status.configuration {
        context.set_position(Collection::Configuration, revision);
    }
    if let Some(revision) = status.servers {
        context.set_position(Collection::BackendServers, revision);
    }
    if let Some(revision) = status.evacuations {
        context.set_position(Collection::Evacuations, revision);
    }
    context.reader_has_store.set(status.store_reachable);
    *context.feed_path.borrow_mut() = status.path;
}

fn apply(context: &Context, frame: Frame) -> Result<(), LinkError> {
    let now = clock::now();
    match frame {
        Frame::Configuration(configuration) => {
            store_watcher::adopt_configuration(context, *configuration)
        }
        Frame::NewerVersion(version) => store_watcher::note_configuration_version(context, version),
        Frame::Server(server) => server_updates::apply_servers(context, now, vec![server]),
        Frame::Servers(table) => server_updates::apply_servers(context, now, table.servers()?),
        Frame::ServerGone(name) => server_updates::apply_removal(context, now, &name),
        Frame::AllServers(table) => replace_servers(context, now, table)?,
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
        Frame::StoreReturned => store_watcher::note_store_return(context),
        Frame::Hello(_)
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

fn apply_part(
    context: &Context,
    part: ChangePart,
    transfer: &mut Transfer,
) -> Result<(), LinkError> {
    match context.active_configuration.add_part(part)? {
        PartOutcome::Incomplete | PartOutcome::AlreadyApplied => Ok(()),
        PartOutcome::Complete(configuration) => {
            transfer.end(configuration.version);
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
