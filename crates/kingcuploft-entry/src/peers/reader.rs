//! The feeder's side of a link: tells its followers what it hears.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpListener;

use super::feed::{Feed, HEARTBEAT};
use super::followers::Admitted;
use super::frame::{Frame, Hello, Standing};
use super::standing::standing;
use super::writing::{WRITE_PATIENCE, timed_out, write};
use crate::context::Context;
use crate::store_access::StoreAccess;

/// The bytes read at once of what a follower says.
const HELLO_BYTES: usize = 256;

/// Takes followers until the process ends.
pub async fn serve(context: Rc<Context>, pulse: Rc<StoreAccess>, listener: TcpListener) {
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
pub async fn beat(context: Rc<Context>, pulse: Rc<StoreAccess>) {
    let mut told = None;
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        if context.followers.is_empty() {
            continue;
        }
        let standing = standing(&context, &pulse);
        let is_news = told.as_ref() != Some(&standing);
        let line = Frame::Standing(standing.clone());
        match is_news {
            true => context.followers.tell(&line),
            false => context.followers.tell_alive(&line),
        }
        told = Some(standing);
    }
}

/// Answers one VM until its link ends.
///
/// # Errors
///
/// Returns an error if the link fails.
pub async fn answer(
    context: &Rc<Context>,
    pulse: &StoreAccess,
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
            crate::store_watcher::apply_zone_records(context, records);
            Ok(())
        }
        Ok(Frame::Hello(hello)) => lead(context, pulse, hello, lines, write).await,
        Ok(_) | Err(_) => Ok(()),
    }
}

async fn lead(
    context: &Rc<Context>,
    pulse: &StoreAccess,
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
        biased;
        ended = Feed::new(context, pulse, &hello, stream).run(&hello, queue) => ended,
        () = hear(context, pulse, id, lines) => Ok(()),
    };
    context.followers.left(id);
    ended
}

/// Returns whether a VM that wants to be fed knows the store up to a later moment.
fn is_ahead(hello: &Hello, own: &Standing) -> bool {
    let knows_more = hello.configuration > own.configuration
        || hello.servers > own.servers
        || hello.evacuations > own.evacuations;
    own.is_whole() && knows_more
}

/// Learns up to which moment this VM knows the store.
///
/// A watch that brings no change tells none: whoever read the store a moment later would take this VM for one that is behind.
fn catch_up(context: &Context, pulse: &StoreAccess) {
    match pulse.is_reading() {
        true => pulse.request_rewatch(),
        false => context.follower_ahead.notify_waiters(),
    }
}

/// Hears how many VMs are fed through a follower, until the link ends.
async fn hear(
    context: &Context,
    pulse: &StoreAccess,
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
            Ok(Frame::Configuration(newer)) => {
                crate::store_watcher::adopt_configuration(context, *newer)
            }
            Ok(Frame::Ahead) => catch_up(context, pulse),
            Ok(_) | Err(_) => {}
        }
    }
}

async fn tell(stream: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> std::io::Result<()> {
    write(stream, &frame.to_line()).await
}

fn zones(context: &Context) -> Frame {
    Frame::Zones(context.readers.borrow().records())
}
