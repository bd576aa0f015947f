//! Turns at servers that name limits, asked of the VMs that keep these.
//!
//! One datagram asks, one answers; a lost one costs a turn, and never gives one too many.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::server_limit::{TURN_RETRY_DELAY, Turn};
use kingcuploft::world::ids::BackendServerName;

use super::zone_socket::Told;
use crate::clock;
use crate::context::Context;
use crate::limits;

/// How long an answer is waited for: many round trips of a region.
const PATIENCE: Duration = Duration::from_millis(30);

/// Asks for a turn at a server for a request that waits so long at most.
pub async fn ask(context: &Context, server: &BackendServerName, patience: Duration) -> Turn {
    if limits::is_kept_here(context, server) {
        let mut limits = context.limits.borrow_mut();
        return limits.give_turn(clock::now(), server, patience);
    }
    let keeper = limits::keeper(context, server);
    let (Some(keeper), Some(socket)) = (keeper, context.peer_readings.get()) else {
        return Turn::TooLate(TURN_RETRY_DELAY);
    };
    let (ask, answer) = context.asked_turns.open();
    let told = Told::AskTurn {
        server: server.clone(),
        patience_ms: patience.as_millis() as u64,
        ask,
    };
    socket.tell(&told, &[keeper.address]);
    let answered = tokio::time::timeout(PATIENCE, answer).await;
    context.asked_turns.close(ask);
    match answered {
        Ok(Ok(turn)) => turn,
        Ok(Err(_)) | Err(_) => Turn::TooLate(TURN_RETRY_DELAY),
    }
}

/// Answers a VM that asks for a turn.
pub fn asked(
    context: &Context,
    server: &BackendServerName,
    patience: Duration,
    ask: u64,
    from: SocketAddr,
) {
    let Some(socket) = context.peer_readings.get() else {
        return;
    };
    let mut limits = context.limits.borrow_mut();
    let (after, given) = match limits.give_turn(clock::now(), server, patience) {
        Turn::After(after) => (after, true),
        Turn::TooLate(after) => (after, false),
    };
    let after_ms = after.as_millis() as u64;
    let told = Told::Turn {
        ask,
        after_ms,
        given,
    };
    socket.tell(&told, &[from]);
}

/// Takes an answer in.
pub fn answered(context: &Context, ask: u64, after: Duration, given: bool) {
    let turn = match given {
        true => Turn::After(after),
        false => Turn::TooLate(after),
    };
    context.asked_turns.answered(ask, turn);
}
