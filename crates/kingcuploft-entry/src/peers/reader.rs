//! The feeder's side of a link: tells its followers what it hears.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::server_table::ServerTable;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::followers::{Admitted, Line};
use super::frame::{Frame, Hello, Standing};
use super::standing::standing;
use crate::context::Context;
use crate::pulse::Pulse;

/// The time between two heartbeats. A follower that misses two and a bit reads by itself.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// How long a follower may take nothing of what is written to it.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// How long a follower is kept waiting by a VM that knows nothing itself.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// The bytes read at once of what a follower says.
const HELLO_BYTES: usize = 256;

/// Takes followers until the process ends.
pub async fn serve(context: Rc<Context>, pulse: Rc<Pulse>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, pulse) = (context.clone(), pulse.clone());
                tokio::task::spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let _ = answer(&context, &pulse, stream).await;
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
        if !context.followers.is_empty() {
            let standing = standing(&context, &pulse);
            context.followers.tell(&Frame::Standing(standing));
        }
    }
}

/// Answers one VM until its link ends.
///
/// # Errors
///
/// Returns an error if the link fails.
pub async fn answer(
    context: &Rc<Context>,
    pulse: &Pulse,
    stream: impl AsyncRead + AsyncWrite,
) -> std::io::Result<()> {
    let (read, mut write) = tokio::io::split(stream);
    let mut lines = BufReader::with_capacity(HELLO_BYTES, read);
    let mut line = Vec::new();
    let reading = tokio::time::timeout(WRITE_PATIENCE, lines.read_until(b'\n', &mut line));
    reading.await.map_err(|_| timed_out())??;
    match serde_json::from_slice(&line) {
        Ok(Frame::WhoReads) => tell(&mut write, &zones(context)).await,
        Ok(Frame::Zones(records)) => {
            crate::keeper::zones(context, records);
            Ok(())
        }
        Ok(Frame::Hello(hello)) => lead(context, pulse, hello, lines, write).await,
        Ok(_) | Err(_) => Ok(()),
    }
}

async fn lead(
    context: &Rc<Context>,
    pulse: &Pulse,
    hello: Hello,
    lines: BufReader<impl AsyncRead + Unpin>,
    mut stream: impl AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let own = standing(context, pulse);
    let (vm, zone) = (hello.vm.clone(), &context.settings.zone);
    let admitted = context.followers.admit(vm, hello.below, zone, &own.path);
    let (id, queue) = match admitted {
        Admitted::Fed(id, queue) => (id, queue),
        Admitted::Elsewhere(vm) => return tell(&mut stream, &Frame::Elsewhere(vm)).await,
        Admitted::TurnedAway => return tell(&mut stream, &Frame::Standing(own)).await,
    };
    if is_ahead(&hello, &own) {
        catch_up(context, pulse);
    }
    let ended = tokio::select! {
        ended = feed(context, pulse, &hello, stream, queue) => ended,
        () = hear(context, pulse, id, lines) => Ok(()),
    };
    context.followers.left(id);
    ended
}

/// Returns whether a VM that wants to be fed knows the store up to a later moment.
fn is_ahead(hello: &Hello, own: &Standing) -> bool {
    own.is_whole() && (hello.configuration > own.configuration || hello.servers > own.servers)
}

/// Learns up to which moment this VM knows the store.
///
/// Failure: after an outage all VMs have read the store for themselves, each at another moment. A watch that brings no
/// change tells none, and whoever read a moment later than the reader took it for one that is behind and went on
/// reading, for as long as nothing changed. The guard: a reader that is asked by such a VM asks its watches again, which
/// tell the moment at once.
fn catch_up(context: &Context, pulse: &Pulse) {
    match pulse.is_reading() {
        true => pulse.ask_again(),
        false => context.ahead.notify_waiters(),
    }
}

/// Tells a follower all that this VM knows, and then what it hears.
async fn feed(
    context: &Rc<Context>,
    pulse: &Pulse,
    hello: &Hello,
    mut stream: impl AsyncWrite + Unpin,
    mut queue: mpsc::Receiver<Line>,
) -> std::io::Result<()> {
    if !standing(context, pulse).is_whole() {
        let whole = tokio::time::timeout(LONGEST_WAIT, keep_waiting(context, pulse, &mut stream));
        whole.await.map_err(|_| timed_out())??;
        // What queued up meanwhile is in the account.
        while queue.try_recv().is_ok() {}
    }
    let own = standing(context, pulse);
    // A VM that is fed itself hears of a change before it hears up to which moment it knows all: one that joins in
    // between stands at the same moment and would never be told the change.
    let at_one_moment = (own.configuration, own.servers) == (hello.configuration, hello.servers);
    let same = pulse.is_reading() && at_one_moment;
    let account = (!same).then(|| context.followers.account(|| account(context)));
    let mut greeting = Frame::Standing(own).to_line();
    greeting.extend(zones(context).to_line());
    write(&mut stream, &greeting).await?;
    if let Some(account) = account {
        write(&mut stream, &account).await?;
    }
    tell(&mut stream, &Frame::Told).await?;
    while let Some(line) = queue.recv().await {
        write(&mut stream, &line).await?;
    }
    Ok(())
}

/// Tells a follower that this VM is alive, until it knows all.
async fn keep_waiting(
    context: &Context,
    pulse: &Pulse,
    stream: &mut (impl AsyncWrite + Unpin),
) -> std::io::Result<()> {
    loop {
        tell(stream, &Frame::Wait).await?;
        let knows = tokio::time::timeout(HEARTBEAT, knows_all(context, pulse));
        if knows.await.is_ok() {
            return Ok(());
        }
    }
}

async fn knows_all(context: &Context, pulse: &Pulse) {
    loop {
        let moved = context.moved.notified();
        if standing(context, pulse).is_whole() {
            return;
        }
        moved.await;
    }
}

/// Hears how many VMs are fed through a follower, until the link ends.
async fn hear(
    context: &Context,
    pulse: &Pulse,
    id: u64,
    mut lines: BufReader<impl AsyncRead + Unpin>,
) {
    let mut line = Vec::new();
    loop {
        line.clear();
        match lines.read_until(b'\n', &mut line).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        match serde_json::from_slice(&line) {
            Ok(Frame::Below(below)) => context.followers.has_below(id, below),
            Ok(Frame::Ahead) => catch_up(context, pulse),
            Ok(_) | Err(_) => {}
        }
    }
}

fn timed_out() -> std::io::Error {
    std::io::ErrorKind::TimedOut.into()
}

async fn tell(stream: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> std::io::Result<()> {
    write(stream, &frame.to_line()).await
}

async fn write(stream: &mut (impl AsyncWrite + Unpin), mut line: &[u8]) -> std::io::Result<()> {
    while !line.is_empty() {
        let writing = tokio::time::timeout(WRITE_PATIENCE, stream.write(line)).await;
        let written = writing.map_err(|_| timed_out())??;
        line = &line[written..];
    }
    Ok(())
}

fn zones(context: &Context) -> Frame {
    Frame::Zones(context.readers.borrow().records())
}

/// Writes all that this VM knows of what the store holds.
fn account(context: &Context) -> Vec<u8> {
    let mut out = Vec::new();
    if let Some(configuration) = context.configuration() {
        let configuration = Box::new((*configuration).clone());
        out.extend(Frame::Configuration(configuration).to_line());
    }
    let table = context.servers(|servers| ServerTable::of(servers.present()));
    out.extend(Frame::AllServers(table).to_line());
    out
}
