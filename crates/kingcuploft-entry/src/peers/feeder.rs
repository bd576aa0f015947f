//! The feeder's side of a link: accepts connections of other VMs, admits followers and passes on to them what this VM
//! learns of the store.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::vm_entry::VmEntry;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpListener;

use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::followers::Admitted;
use super::frame::{Frame, Hello, SyncStatus};
use super::line_writer::{WRITE_STALL_TIMEOUT, timed_out, write_line};
use super::sync_status::sync_status;
use crate::context::Context;
use crate::edge::connection;
use crate::store_access::StoreAccess;

/// The first bytes of frames, with which no HTTP request begins.
const FRAME_STARTS: [u8; 2] = [b'{', b'"'];

/// The capacity of the buffer for what a follower sends: a follower's frames are short.
const READ_BUFFER_BYTES: usize = 256;

/// Accepts connections of other VMs, until the process ends.
pub async fn serve(context: Rc<Context>, store_access: Rc<StoreAccess>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (context, store_access) = (context.clone(), store_access.clone());
                tokio::task::spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let _ = handle_connection(&context, &store_access, stream).await;
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Sends heartbeats to all followers, until the process ends: the whole status if it has changed since the last one, a
/// short frame otherwise.
pub async fn send_heartbeats(context: Rc<Context>, store_access: Rc<StoreAccess>) {
    let mut last_sent = None;
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        if context.followers.is_empty() {
            continue;
        }
        let status = sync_status(&context, &store_access);
        let has_changed = last_sent.as_ref() != Some(&status);
        let frame = Frame::Status(status.clone());
        match has_changed {
            true => context.followers.send(&frame),
            false => context.followers.send_alive(&frame),
        }
        last_sent = Some(status);
    }
}

/// Serves one connection of another VM until it ends: serves a relayed request, answers a request for the zones' records,
/// takes such records, or feeds a follower.
///
/// # Errors
///
/// Returns an error if the link fails.
pub async fn handle_connection(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> std::io::Result<()> {
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    let reading = tokio::time::timeout(WRITE_STALL_TIMEOUT, stream.fill_buf());
    let first = reading.await.map_err(|_| timed_out())??.first().copied();
    if first.is_some_and(|byte| !FRAME_STARTS.contains(&byte)) {
        connection::serve_vm(context.clone(), stream).await;
        return Ok(());
    }
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
        Ok(Frame::Informed(vm)) => {
            note_informed(context, store_access, vm);
            Ok(())
        }
        Ok(Frame::Hello(hello)) => feed(context, store_access, hello, lines, write).await,
        Ok(Frame::SnapshotRequest(hello)) => inform(context, store_access, &hello, write).await,
        Ok(_) | Err(_) => Ok(()),
    }
}

/// Feeds a VM that asks for it until its link ends, unless it is redirected or rejected.
async fn feed(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    hello: Hello,
    lines: BufReader<impl AsyncRead + Unpin>,
    mut stream: impl AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let own = sync_status(context, store_access);
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
        refresh(context, store_access);
    }
    if hello.knows_all() {
        note_informed(context, store_access, hello.vm.clone());
    }
    let result = tokio::select! {
        biased;
        result = Feed::new(context, store_access, &hello, stream).run(&hello, queue) => result,
        () = receive(context, store_access, id, lines) => Ok(()),
    };
    context.followers.remove(id);
    result
}

/// Records that a VM knows all, if this one does not.
fn note_informed(context: &Context, store_access: &StoreAccess, vm: VmEntry) {
    if !sync_status(context, store_access).is_complete() {
        context.informants.borrow_mut().record_informed(vm);
    }
}

/// Sends a VM a snapshot, or says that this VM has none.
async fn inform(
    context: &Rc<Context>,
    store_access: &StoreAccess,
    hello: &Hello,
    mut stream: impl AsyncWrite + Unpin,
) -> std::io::Result<()> {
    let own = sync_status(context, store_access);
    if is_follower_ahead(hello, &own) {
        refresh(context, store_access);
    }
    match own.is_complete() {
        true => {
            let mut feed = Feed::new(context, store_access, hello, stream);
            feed.send_snapshot(hello).await
        }
        false => send(&mut stream, &Frame::Wait).await,
    }
}

/// Returns whether a VM that asks to be fed knows a later revision of the store.
fn is_follower_ahead(hello: &Hello, own: &SyncStatus) -> bool {
    let knows_more = hello.configuration > own.configuration
        || hello.servers > own.servers
        || hello.evacuations > own.evacuations;
    own.is_complete() && knows_more
}

/// Has this VM, or the reader that feeds it, ask the store for its current revision.
///
/// A watch that brings no change brings no revision either. Without this, a VM that has read the store a moment later
/// takes this VM for one that is behind, for as long as nothing changes.
fn refresh(context: &Context, store_access: &StoreAccess) {
    match store_access.is_reading() {
        true => store_access.request_rewatch(),
        false => context.follower_ahead.notify_waiters(),
    }
}

/// Handles what a follower reports, until the link ends.
async fn receive(
    context: &Context,
    store_access: &StoreAccess,
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
            Ok(Frame::Descendants(descendants)) => {
                context.followers.set_descendants(id, descendants)
            }
            Ok(Frame::Configuration(newer)) => {
                crate::store_watcher::adopt_configuration(context, *newer)
            }
            Ok(Frame::FollowerAhead) => refresh(context, store_access),
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
