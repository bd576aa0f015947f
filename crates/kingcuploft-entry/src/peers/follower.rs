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

/// How long a reader may be silent: two heartbeats and a bit. A change that it missed is then read
/// from the store within another tenth of a second, well within the 2 s of a leaving server.
const SILENCE: Duration = Duration::from_millis(650);

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
    /// The reader does not read the store, or has lost it.
    #[error("the reader does not read the store")]
    CannotLead,
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

/// Follows a reader until the link ends. While all that it knows has been told and it goes on
/// telling, this VM does not read the store.
pub async fn follow(context: &Rc<Context>, pulse: &Pulse, reader: &VmEntry) -> LinkError {
    let ended = run(context, pulse, reader).await;
    context.followed.borrow_mut().take();
    pulse.set_reading(true);
    match ended {
        Ok(()) => LinkError::Closed,
        Err(error) => error,
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
    loop {
        line.clear();
        let reading = tokio::time::timeout(SILENCE, lines.read_until(b'\n', &mut line));
        if reading.await.map_err(|_| LinkError::Silent)?? == 0 {
            return Ok(());
        }
        match serde_json::from_slice(&line)? {
            Frame::Standing(standing) => {
                if !standing.may_lead(&own(context)) {
                    return Err(match standing.store_there {
                        true => LinkError::Behind,
                        false => LinkError::CannotLead,
                    });
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
                *context.followed.borrow_mut() = Some(reader.clone());
                pulse.set_reading(false);
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
