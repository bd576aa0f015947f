//! The feeder's side of a link: tells its followers what it hears.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpListener;

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::followers::Admitted;
use super::frame::{Frame, Hello, SyncStatus};
use super::line_writer::{WRITE_STALL_TIMEOUT, timed_out, write_line};
use super::sync_status::sync_status;
use crate::context::Context;
use crate::store_access::StoreAccess;

/// The bytes read at once of what a follower says.
const READ_BUFFER_BYTES: usize = 256;

/// Takes followers until the process ends.
pub async fn serve(context: Rc<Context>, pulse: Rc<StoreAccess>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, pulse) = (context.clone(), pulse.clone());
                tokio::task::spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let _ = handle_connection(&context, &pulse, stream).await;
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
pub async fn send_heartbeats(context: Rc<Context>, pulse: Rc<StoreAccess>) {
    let mut last_sent = None;
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        if context.followers.is_empty() {
            continue;
        }
        let standing = sync_status(&context, &pulse);
        let is_news = last_sent.as_ref() != Some(&standing);
        let line = Frame::Status(standing.clone());
        match is_news {
            true => context.followers.send(&line),
            false => context.followers.send_alive(&line),
        }
        last_sent = Some(standing);
    }
}

/// Answers one VM until its link ends.
///
/// # Errors
///
/// Returns an error if the link fails.
pub async fn handle_connection(
    context: &Rc<Context>,
    pulse: &StoreAccess,
    stream: impl AsyncRead + AsyncWrite,
) -> std::io::Result<()> {
    let (read, mut write) = tokio::io::split(stream);
    let mut lines = BufReader::with_capacity(READ_BUFFER_BYTES, read);
    let mut line = Vec::new();
    let reading = tokio::time::timeout(WRITE_STALL_TIMEOUT, lines.read_until(b'\n', &mut line));
    reading.await.map_err(|_| timed_out())??;
    match serde_json::from_slice(&line) {
        Ok(Frame::ZonesRequest) => send(&mut write, &zones_frame(context)).await,
        Ok(Frame::Zones(records)) => {
            crate::store_watcher::apply_zone_records(context, records);
            Ok(())
        }
        Ok(Frame::Hello(hello)) => feed(context, pulse, hello, lines, write).await,
        Ok(_) | Err(_) => Ok(()),
    }
}

async fn feed(
    context: &Rc<Context>,
    pulse: &StoreAccess,
    hello: Hello,
    lines: BufReader<impl AsyncRead + Unpin>,
    mut stream: impl AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let own = sync_status(context, pulse);
    let (vm, zone) = (hello.vm.clone(), &context.settings.zone);
    let admitted = context
        .followers
        .admit(vm, hello.descendants, zone, &own.path);
    let (id, queue) = match admitted {
        Admitted::Accepted(id, queue) => (id, queue),
        Admitted::Redirected(vm) => return send(&mut stream, &Frame::Redirect(vm)).await,
        Admitted::Rejected => return send(&mut stream, &Frame::Status(own)).await,
    };
    if is_follower_ahead(&hello, &own) {
        refresh(context, pulse);
    }
    let ended = tokio::select! {
        biased;
        ended = Feed::new(context, pulse, &hello, stream).run(&hello, queue) => ended,
        () = receive(context, pulse, id, lines) => Ok(()),
    };
    context.followers.remove(id);
    ended
}

/// Returns whether a VM that wants to be fed knows the store up to a later moment.
fn is_follower_ahead(hello: &Hello, own: &SyncStatus) -> bool {
    let knows_more = hello.configuration > own.configuration
        || hello.servers > own.servers
        || hello.evacuations > own.evacuations;
    own.is_complete() && knows_more
}

/// Learns up to which moment this VM knows the store.
///
/// A watch that brings no change tells none: whoever read the store a moment later would take this VM for one that is behind.
fn refresh(context: &Context, pulse: &StoreAccess) {
    match pulse.is_reading() {
        true => pulse.request_rewatch(),
        false => context.follower_ahead.notify_waiters(),
    }
}

/// Hears how many VMs are fed through a follower, until the link ends.
async fn receive(
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
            Ok(Frame::Descendants(below)) => context.followers.set_descendants(id, below),
            Ok(Frame::Configuration(newer)) => {
                crate::store_watcher::adopt_configuration(context, *newer)
            }
            Ok(Frame::FollowerAhead) => refresh(context, pulse),
            Ok(_) | Err(_) => {}
        }
    }
}

async fn send(stream: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> std::io::Result<()> {
    write_line(stream, &frame.to_line()).await
}

fn zones_frame(context: &Context) -> Frame {
    Frame::Zones(context.readers.borrow().records())
}
