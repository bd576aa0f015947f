//! Pauses that backend servers ask for when they refuse a request: recorded, observed, logged.

use std::time::{Duration, Instant};

use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::world::ids::BackendServerName;

use crate::context::Context;

/// Applies a server's wish to get nothing from this VM for so long.
pub fn apply(context: &Context, now: Instant, server: &BackendServerName, pause: Duration) {
    if planted::is_on(PlantedFault::IgnoresPauses) {
        return;
    }
    let is_new = context.pauses.borrow_mut().record(now, server, pause);
    if is_new {
        let pause_ms = pause.as_millis() as u64;
        tracing::info!(event = "server_pauses", %server, pause_ms);
    }
}

/// Returns whether a server wants nothing from this VM now, neither requests nor probes.
pub fn is_paused(context: &Context, now: Instant, server: &BackendServerName) -> bool {
    !remaining(context, now, server).is_zero()
}

/// Returns how much longer a server wants nothing from this VM.
pub fn remaining(context: &Context, now: Instant, server: &BackendServerName) -> Duration {
    context.pauses.borrow().remaining(now, server)
}

/// Forgets the pauses that are over.
pub fn expire(context: &Context, now: Instant) {
    context.pauses.borrow_mut().expire(now);
}
