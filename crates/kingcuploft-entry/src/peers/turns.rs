//! Turns at backend servers that name a limit, requested from the VMs that own the limit.
//!
//! A request and its reply are one datagram each. A lost datagram costs a turn, and never grants one too many.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::server_limit::{TURN_RETRY_DELAY, Turn};
use kingcuploft::world::ids::BackendServerName;

use super::peer_socket::PeerMessage;
use crate::clock;
use crate::context::Context;
use crate::limits;

/// How long a reply is waited for: many round trips within a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// Requests a turn at a server for a request that may wait `max_wait` at most.
pub async fn request(context: &Context, server: &BackendServerName, max_wait: Duration) -> Turn {
    if limits::is_limit_owner(context, server) {
        let mut limits = context.limits.borrow_mut();
        return limits.give_turn(clock::now(), server, max_wait);
    }
    let owner = limits::pick_limit_owner(context, server);
    let (Some(owner), Some(socket)) = (owner, context.peer_socket.get()) else {
        return Turn::TooLate(TURN_RETRY_DELAY);
    };
    let (request_id, reply) = context.pending_turns.register();
    let message = PeerMessage::TurnRequest {
        server: server.clone(),
        max_wait_ms: max_wait.as_millis() as u64,
        request_id,
    };
    socket.send(&message, &[owner.address]);
    let outcome = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
    context.pending_turns.cancel(request_id);
    match outcome {
        Ok(Ok(turn)) => turn,
        Ok(Err(_)) | Err(_) => Turn::TooLate(TURN_RETRY_DELAY),
    }
}

/// Replies to a VM that requests a turn.
pub fn handle_request(
    context: &Context,
    server: &BackendServerName,
    max_wait: Duration,
    request_id: u64,
    from: SocketAddr,
) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let mut limits = context.limits.borrow_mut();
    let (after, granted) = match limits.give_turn(clock::now(), server, max_wait) {
        Turn::After(after) => (after, true),
        Turn::TooLate(after) => (after, false),
    };
    let after_ms = after.as_millis() as u64;
    let message = PeerMessage::TurnReply {
        request_id,
        after_ms,
        granted,
    };
    socket.send(&message, &[from]);
}

/// Handles the reply to a request of this VM.
pub fn handle_reply(context: &Context, request_id: u64, after: Duration, granted: bool) {
    let turn = match granted {
        true => Turn::After(after),
        false => Turn::TooLate(after),
    };
    context.pending_turns.complete(request_id, turn);
}
