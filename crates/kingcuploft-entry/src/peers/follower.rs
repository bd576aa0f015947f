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
use super::frame::{Frame, Hello, SPEAKS, Standing};
use super::lines::{LineError, Lines};
use super::link_error::LinkError;
use crate::clock;
use crate::context::Context;
use crate::evacuation;
use crate::keeper;
use crate::notices;
use crate::pulse::Pulse;
use crate::server_news;
use crate::store::Collection;

/// How long a link may take to be opened by a VM that knows what the store held a moment ago.
const CONNECT_PATIENCE: Duration = Duration::from_millis(150);

/// The same for a VM that knows nothing, and refuses callers meanwhile: a VM of the zone that runs answers
/// within some milliseconds, and one that has no power does not even refuse.
const CONNECT_PATIENCE_UNREADY: Duration = Duration::from_millis(20);

/// How long a feeder may be silent: two heartbeats and a bit. A change that it missed is then read
/// from the store within some tenths of a second, well within the 2 s of a leaving server.
const SILENCE: Duration = Duration::from_millis(650);

/// From which length on a line is logged with the time that it took.
const LONG_LINE_BYTES: usize = 16 * 1024;

/// Whether a link came to feed this VM before it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// It did.
    Fed,
    /// It did not.
    NotFed,
}

/// How a link ended.
#[derive(Debug)]
pub struct Ended {
    /// Why.
    pub why: LinkError,
    /// Whether it fed this VM.
    pub link: Link,
}

/// Follows a VM until the link ends. While all that it knows has been told and it goes on telling, this VM does not
/// read the store.
pub async fn follow(
    context: &Rc<Context>,
    pulse: &Pulse,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> Ended {
    let _following = Following(context);
    let ended = run(context, pulse, own, feeder, network).await;
    let link = match context.followed.borrow().is_some() {
        true => Link::Fed,
        false => Link::NotFed,
    };
    Ended {
        why: ended.err().unwrap_or(LinkError::Closed),
        link,
    }
}

/// What holds while a VM is followed, and no longer, also where following is broken off.
struct Following<'a>(&'a Context);

impl Drop for Following<'_> {
    fn drop(&mut self) {
        self.0.followed.borrow_mut().take();
        self.0.path.borrow_mut().clear();
        self.0.promised.set(false);
        self.0.reader_has_store.set(true);
    }
}

async fn run(
    context: &Rc<Context>,
    pulse: &Pulse,
    own: &VmEntry,
    feeder: &VmEntry,
    network: &impl Dial,
) -> Result<(), LinkError> {
    let patience = match context.is_ready() {
        true => CONNECT_PATIENCE,
        false => CONNECT_PATIENCE_UNREADY,
    };
    let connecting = tokio::time::timeout(patience, network.dial(feeder.address));
    let stream = connecting.await.map_err(|_| LinkError::Unreachable)??;
    let (read, mut write) = tokio::io::split(stream);
    let hello = Frame::Hello(Hello {
        vm: own.clone(),
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        below: context.followers.below(&context.settings.zone),
        version: context.in_force.leads_on(),
        arrived: context.in_force.arrived(),
        servers_digest: Some(context.servers(|servers| servers.digest())),
        speaks: SPEAKS,
    });
    write.write_all(&hello.to_line()).await?;
    let lines = Lines::of(read);
    tokio::select! {
        biased;
        ended = hear(context, pulse, feeder, lines) => ended,
        ended = tell_below(context, write) => ended,
    }
}

/// Tells the feeder how many VMs are fed through this one, each time that changes, and that one is ahead.
async fn tell_below(
    context: &Context,
    mut stream: impl AsyncWrite + Unpin,
) -> Result<(), LinkError> {
    let mut told = context.followers.below(&context.settings.zone);
    loop {
        let changed = context.followers.changed.notified();
        let below = context.followers.below(&context.settings.zone);
        if below != told {
            told = below;
            stream.write_all(&Frame::Below(below).to_line()).await?;
        }
        tokio::select! {
            biased;
            () = changed => {}
            () = context.feeder_lacks.notified() => tell_configuration(context, &mut stream).await?,
            () = context.ahead.notified() => stream.write_all(&Frame::Ahead.to_line()).await?,
        }
    }
}

/// Tells the feeder the configuration in force, of which it knows an older one.
async fn tell_configuration(
    context: &Context,
    stream: &mut (impl AsyncWrite + Unpin),
) -> std::io::Result<()> {
    let Some(configuration) = context.configuration() else {
        return Ok(());
    };
    let whole = Frame::Configuration(Box::new((*configuration).clone()));
    stream.write_all(&whole.to_line()).await
}

async fn hear(
    context: &Rc<Context>,
    pulse: &Pulse,
    feeder: &VmEntry,
    mut lines: Lines<impl AsyncRead + Unpin>,
) -> Result<(), LinkError> {
    let mut led = false;
    let mut transfer = Transfer::default();
    let mut pending: Option<Standing> = None;
    loop {
        let Some(frame) = next(&mut lines).await? else {
            return Ok(());
        };
        match frame {
            Frame::Wait if context.is_ready() => return Err(LinkError::Behind),
            Frame::Wait => context.promised.set(true),
            Frame::Standing(standing) => {
                if let Some(era) = standing.era() {
                    keeper::era(context, era);
                }
                check(context, pulse, &standing)?;
                match led {
                    true => take_standing(context, standing),
                    false => pending = Some(standing),
                }
            }
            Frame::Elsewhere(vm) => return Err(LinkError::Elsewhere(vm)),
            Frame::Told => {
                if let Some(standing) = pending.take() {
                    take_standing(context, standing);
                }
                led = true;
                pulse.leave();
                context.readers.borrow_mut().record_answer(&feeder.name);
                *context.followed.borrow_mut() = Some(feeder.clone());
                tracing::info!(
                    event = "following",
                    reader = %feeder.name,
                    steps = context.path.borrow().len()
                );
            }
            Frame::Part(part) => {
                transfer.add(&lines);
                take_part(context, *part, &mut transfer)?;
            }
            frame => take(context, frame)?,
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
        let (bytes, took) = lines.last();
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
async fn next(lines: &mut Lines<impl AsyncRead + Unpin>) -> Result<Option<Frame>, LinkError> {
    let frame = match lines.next(SILENCE).await {
        Ok(Some(line)) => serde_json::from_slice(line)?,
        Ok(None) => return Ok(None),
        Err(LineError::Failed(error)) => return Err(error.into()),
        Err(LineError::Silent) => {
            return Err(LinkError::Silent {
                silent_for: lines.silent_for(),
                partial_bytes: lines.partial_bytes(),
            });
        }
    };
    let (bytes, took) = lines.last();
    if bytes >= LONG_LINE_BYTES {
        let took_ms = took.as_millis() as u64;
        tracing::info!(event = "long_line", bytes, took_ms);
    }
    Ok(Some(frame))
}

/// Checks whether the feeder may still be followed.
fn check(context: &Context, pulse: &Pulse, standing: &Standing) -> Result<(), LinkError> {
    if dissemination::has_cycle(&context.settings.vm, &standing.path) {
        return Err(LinkError::Circle);
    }
    let own = Standing {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        store_there: true,
        path: Vec::new(),
    };
    if standing.is_behind(&own) {
        return Err(LinkError::Behind);
    }
    let has_store = pulse.is_reading() && pulse.is_there();
    if !standing.store_there && has_store && context.is_ready() {
        return Err(LinkError::StoreAway);
    }
    Ok(())
}

fn take_standing(context: &Context, standing: Standing) {
    if let Some(revision) = standing.configuration {
        context.set_position(Collection::Configuration, revision);
    }
    if let Some(revision) = standing.servers {
        context.set_position(Collection::BackendServers, revision);
    }
    if let Some(revision) = standing.evacuations {
        context.set_position(Collection::Evacuations, revision);
    }
    context.reader_has_store.set(standing.store_there);
    *context.path.borrow_mut() = standing.path;
}

fn take(context: &Context, frame: Frame) -> Result<(), LinkError> {
    let now = clock::now();
    match frame {
        Frame::Configuration(configuration) => keeper::configuration(context, *configuration),
        Frame::Newer(version) => keeper::configuration_exists(context, version),
        Frame::Server(server) => server_news::told(context, now, vec![server]),
        Frame::Servers(table) => server_news::told(context, now, table.servers()?),
        Frame::ServerGone(name) => server_news::gone(context, now, &name),
        Frame::AllServers(table) => all_servers(context, now, table)?,
        Frame::Zones(records) => keeper::zones(context, records),
        Frame::Notices(notices) => notices::told(context, notices),
        Frame::NoticesGone(ids) => notices::withdrawn(context, ids),
        Frame::AllNotices(notices) => {
            let ids: Vec<NoticeId> = notices.iter().map(Notice::id).collect();
            notices::told(context, notices);
            notices::followed(context, ids.into_iter());
        }
        Frame::Evacuations(zones) => evacuation::followed(context, zones),
        Frame::Era(era) => keeper::era(context, era),
        Frame::Lacks => context.feeder_lacks.notify_one(),
        Frame::StoreReturned => keeper::store_returned(context),
        Frame::Hello(_)
        | Frame::WhoReads
        | Frame::Below(_)
        | Frame::Ahead
        | Frame::Standing(_)
        | Frame::Wait
        | Frame::Alive
        | Frame::Part(_)
        | Frame::Elsewhere(_)
        | Frame::Told => {}
    }
    Ok(())
}

fn take_part(
    context: &Context,
    part: ChangePart,
    transfer: &mut Transfer,
) -> Result<(), LinkError> {
    match context.in_force.take(part)? {
        PartOutcome::Incomplete | PartOutcome::AlreadyApplied => Ok(()),
        PartOutcome::Complete(configuration) => {
            transfer.end(configuration.version);
            keeper::configuration(context, *configuration);
            Ok(())
        }
        PartOutcome::Mismatch => Err(LinkError::OutOfStep),
    }
}

fn all_servers(context: &Context, now: Instant, table: ServerTable) -> Result<(), LinkError> {
    let servers: Vec<BackendServer> = table.servers()?;
    let names: Vec<String> = servers.iter().map(|s| s.name.to_string()).collect();
    server_news::all_told(context, now, servers, &names);
    Ok(())
}
