//! The follower's side of a link: learns from a reader what the store holds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use kingcuploft::entry::readers::VmEntry;

use super::frame::{Frame, Standing};
use crate::context::Context;
use crate::keeper;
use crate::pulse::Pulse;
use crate::store::Collection;

/// How long a link may take to be opened.
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

/// How long a VM that knows nothing yet waits for its reader before it asks the store as well. A reader of
/// the zone that runs tells all within a few milliseconds, and the store answers in some; one that has no
/// power yet does not even refuse, and [`CONNECT_PATIENCE`] is three tenths of a second of refused callers.
const KNOWING_NOTHING: Duration = Duration::from_millis(20);

/// How long a reader may be silent: two heartbeats and a bit. A change that it missed is then read
/// from the store within another tenth of a second, well within the 2 s of a leaving server.
const SILENCE: Duration = Duration::from_millis(650);

/// How long a reader that has lost the store is followed by a VM that has lost it too, before that
/// VM asks the store itself again: it may be away for the reader alone.
const ASK_ALONE: Duration = Duration::from_millis(1500);

/// The most bytes of one line: a large configuration.
const BUFFER_BYTES: usize = 8 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It could not be opened, or broke.
    #[error("the link failed: {0}")]
    Failed(#[from] std::io::Error),
    /// The reader closed it.
    #[error("the reader closed the link")]
    Closed,
    /// The reader fell silent.
    #[error("the reader is silent")]
    Silent,
    /// The reader has lost the store.
    #[error("the reader has lost the store")]
    StoreAway,
    /// The VM follows another one.
    #[error("the VM follows {}", .0.name)]
    Elsewhere(VmEntry),
    /// The reader has not heard yet what this VM knows.
    #[error("the reader is behind")]
    Behind,
    /// What came can't be read.
    #[error("a line can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl LinkError {
    /// Returns the name used in counters.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::StoreAway => "store_away",
            Self::Elsewhere(_) => "elsewhere",
            Self::Behind => "behind",
            Self::Unreadable(_) => "unreadable",
        }
    }
}

/// Follows a reader until the link ends. While all that it knows has been told and it goes on
/// telling, this VM does not read the store.
pub async fn follow(context: &Rc<Context>, pulse: &Pulse, reader: &VmEntry) -> LinkError {
    let mut link = std::pin::pin!(run(context, pulse, reader));
    let ended = tokio::select! {
        ended = &mut link => ended,
        () = without_knowledge(context) => {
            pulse.read();
            link.await
        }
    };
    context.followed.borrow_mut().take();
    let error = ended.err().unwrap_or(LinkError::Closed);
    match error {
        // Where all start together and nobody calls yet, the reader is waited for.
        LinkError::Behind if context.settings.all_start && own(context).servers.is_none() => {}
        LinkError::Elsewhere(_) | LinkError::StoreAway => {}
        _ => pulse.read(),
    }
    error
}

/// Returns once this VM has known nothing for too long to wait for others. Where all start together nobody
/// calls yet, and the reader is waited for.
pub async fn without_knowledge(context: &Context) {
    tokio::time::sleep(KNOWING_NOTHING).await;
    if context.settings.all_start || context.is_ready() {
        std::future::pending::<()>().await;
    }
}

async fn run(context: &Rc<Context>, pulse: &Pulse, reader: &VmEntry) -> Result<(), LinkError> {
    let connecting = tokio::time::timeout(CONNECT_PATIENCE, TcpStream::connect(reader.address));
    let mut stream = connecting.await.map_err(|_| LinkError::Silent)??;
    stream
        .write_all(&Frame::Standing(own(context)).to_line())
        .await?;
    let mut lines = BufReader::with_capacity(BUFFER_BYTES, stream);
    let mut line = Vec::new();
    let mut led = None;
    let mut pending: Option<Standing> = None;
    let alone = Instant::now() + ASK_ALONE;
    loop {
        line.clear();
        let reading = tokio::time::timeout(SILENCE, lines.read_until(b'\n', &mut line));
        if reading.await.map_err(|_| LinkError::Silent)?? == 0 {
            return Ok(());
        }
        match serde_json::from_slice(&line)? {
            Frame::Standing(standing) => {
                if standing.is_behind(&own(context)) {
                    return Err(LinkError::Behind);
                }
                let away_for_all = !pulse.is_there() && Instant::now() < alone;
                if !standing.store_there && !away_for_all {
                    return Err(LinkError::StoreAway);
                }
                match led {
                    Some(()) => take_position(context, &standing),
                    None => pending = Some(standing),
                }
            }
            Frame::Elsewhere(reader) => return Err(LinkError::Elsewhere(reader)),
            Frame::Told => {
                if let Some(standing) = pending.take() {
                    take_position(context, &standing);
                }
                led = Some(());
                pulse.leave();
                *context.followed.borrow_mut() = Some(reader.clone());
                tracing::info!(event = "following", reader = %reader.name);
            }
            frame => take(context, frame),
        }
    }
}

fn own(context: &Context) -> Standing {
    Standing {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        store_there: true,
    }
}

fn take_position(context: &Context, standing: &Standing) {
    if let Some(revision) = standing.configuration {
        context.set_position(Collection::Configuration, revision);
    }
    if let Some(revision) = standing.servers {
        context.set_position(Collection::BackendServers, revision);
    }
}

fn take(context: &Context, frame: Frame) {
    let now = Instant::now();
    match frame {
        Frame::Configuration(configuration) => keeper::configuration(context, *configuration),
        Frame::Server(server) => keeper::server(context, now, server),
        Frame::ServerGone(name) => keeper::server_gone(context, now, &name),
        Frame::AllServers(names) => keeper::all_servers(context, now, &names),
        Frame::Vms(vms) => keeper::vms(context, vms),
        Frame::StoreReturned => keeper::store_returned(context),
        Frame::Standing(_) | Frame::Elsewhere(_) | Frame::Told => {}
    }
}
