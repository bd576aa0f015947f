//! The reader's side of a link: tells its followers what it hears.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::frame::{Frame, Standing};
use crate::context::Context;
use crate::pulse::Pulse;
use crate::store::Collection;

/// The time between two heartbeats. A follower that misses two and a bit reads by itself.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// How long one frame may take to be written.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// The bytes read at once of a follower's first line.
const HELLO_BYTES: usize = 256;

/// Returns how far this VM knows the store.
pub fn standing(context: &Context, pulse: &Pulse) -> Standing {
    Standing {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        store_there: pulse.is_there(),
    }
}

/// Takes followers until the process ends.
pub async fn serve(context: Rc<Context>, pulse: Rc<Pulse>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, pulse) = (context.clone(), pulse.clone());
                tokio::task::spawn_local(async move {
                    let _ = lead(&context, &pulse, stream).await;
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Beats until the process ends.
pub async fn beat(context: Rc<Context>, pulse: Rc<Pulse>) {
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        context
            .followers
            .tell(&Frame::Standing(standing(&context, &pulse)));
    }
}

async fn lead(context: &Rc<Context>, pulse: &Pulse, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut hello = Vec::new();
    let reading = async {
        let mut lines = BufReader::with_capacity(HELLO_BYTES, &mut stream);
        lines.read_until(b'\n', &mut hello).await
    };
    let read = tokio::time::timeout(WRITE_PATIENCE, reading).await;
    read.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let Ok(Frame::Standing(theirs)) = serde_json::from_slice(&hello) else {
        return Ok(());
    };
    let elsewhere = context
        .followed
        .borrow()
        .clone()
        .filter(|_| !pulse.is_reading());
    if let Some(reader) = elsewhere {
        return write(&mut stream, &Frame::Elsewhere(reader).to_line()).await;
    }
    // From here on changes queue up, so that none falls between the account and what follows it.
    let mut queue = context.followers.add();
    let own = standing(context, pulse);
    let greeting = greeting(context, own);
    let knows_all = (own.configuration, own.servers) == (theirs.configuration, theirs.servers);
    let account = (!knows_all).then(|| context.followers.account(|| account(context)));
    write(&mut stream, &greeting).await?;
    if let Some(account) = account {
        write(&mut stream, &account).await?;
    }
    write(&mut stream, &Frame::Told.to_line()).await?;
    while let Some(line) = queue.recv().await {
        write(&mut stream, &line).await?;
    }
    Ok(())
}

async fn write(stream: &mut TcpStream, line: &[u8]) -> std::io::Result<()> {
    let written = tokio::time::timeout(WRITE_PATIENCE, stream.write_all(line)).await;
    written.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

/// Writes how far this VM knows the store, and which VMs there are.
fn greeting(context: &Context, own: Standing) -> Vec<u8> {
    let mut out = Frame::Standing(own).to_line();
    out.extend(Frame::Vms(context.readers.borrow().vms().to_vec()).to_line());
    out
}

/// Writes all that this VM knows of what the store holds.
fn account(context: &Context) -> Vec<u8> {
    let mut out = Vec::new();
    if let Some(configuration) = context.configuration() {
        let configuration = Box::new((*configuration).clone());
        out.extend(Frame::Configuration(configuration).to_line());
    }
    let (mut names, mut lines) = (Vec::new(), Vec::new());
    context.servers(|servers| {
        for server in servers.present() {
            names.push(server.name.to_string());
            lines.extend(Frame::Server(server.clone()).to_line());
        }
    });
    out.extend(lines);
    out.extend(Frame::AllServers(names).to_line());
    out
}
