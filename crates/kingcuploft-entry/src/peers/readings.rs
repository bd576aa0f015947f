//! What one VM has just learned of a server's load, told to the other VMs of its zone.
//!
//! Load pattern: several VMs of a zone ask the same few servers, each for itself, and under overload the
//! probes take slots from work. A reading is worth as much to the others: a datagram within the zone
//! takes a tenth of a millisecond and costs no bytes between zones. One that is lost costs a probe.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::placement::LoadReading;
use kingcuploft::world::ids::BackendServerName;

use super::repeat_copies;
use super::turns;
use super::zone_socket::{Told, ZoneSocket};
use crate::clock;
use crate::cold;
use crate::context::Context;
use crate::limits;

/// The most VMs that tell each other all readings. In a larger zone each VM asks servers of its own,
/// and telling all would cost more than it saves.
const MOST_VMS: usize = 8;

/// The most bytes of a datagram.
const MOST_BYTES: usize = 4096;

/// How long before it is heard another VM may have asked the server.
const TOLD_WITHIN: Duration = Duration::from_millis(60);

/// The pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(20);

/// Tells the other VMs of the zone a reading, and how long the server is cold, if it said whether it is.
pub fn tell(
    context: &Context,
    server: &BackendServerName,
    reading: LoadReading,
    cold_for: Option<Duration>,
) {
    let told = Told::Reading {
        server: server.clone(),
        running: reading.running,
        waiting: reading.waiting,
        slots: reading.slots,
        slowness: reading.slowness,
        cold_ms: cold_for.map(|cold_for| cold_for.as_millis() as u64),
    };
    tell_others(context, &told);
}

/// Tells the other VMs of the zone that a request is on its way to a server.
pub fn tell_sent(context: &Context, server: &BackendServerName) {
    let server = server.clone();
    tell_others(context, &Told::Sent { server });
}

fn tell_others(context: &Context, told: &Told) {
    let Some(readings) = context.peer_readings.get() else {
        return;
    };
    let others = context.zone_peers.borrow();
    if !others.is_empty() && others.len() < MOST_VMS {
        readings.tell(told, &others);
    }
}

/// Takes readings in until the process ends.
pub async fn receive(context: Rc<Context>, socket: Rc<ZoneSocket>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        match socket.hear(&mut buffer).await {
            Ok(Some((told, from))) => take(&context, &told, from),
            Ok(None) => {}
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Takes in what another VM tells.
pub fn take(context: &Context, told: &Told, from: SocketAddr) {
    let now = clock::now();
    match *told {
        Told::Reading {
            ref server,
            running,
            waiting,
            slots,
            slowness,
            cold_ms,
        } => {
            let reading = LoadReading {
                running,
                waiting,
                slots,
                slowness,
            };
            if let Some(upstream) = context.upstream(server) {
                if let Some(cold_for) = cold_ms.map(Duration::from_millis) {
                    let asked_at = now.checked_sub(TOLD_WITHIN).unwrap_or(now);
                    cold::heard(context, &upstream, cold_for, asked_at);
                }
                upstream.told(now, reading);
                context.readings.notify_waiters();
            }
        }
        Told::Sent { ref server } => {
            if let Some(upstream) = context.upstream(server) {
                upstream.others_sent(now);
            }
        }
        Told::AskTurn {
            ref server,
            patience_ms,
            ask,
        } => turns::asked(
            context,
            server,
            Duration::from_millis(patience_ms),
            ask,
            from,
        ),
        Told::Turn {
            ask,
            after_ms,
            given,
        } => turns::answered(context, ask, Duration::from_millis(after_ms), given),
        Told::Limit { ref server, per_s } => limits::changed(context, server, per_s),
        Told::Repeats { ref vm, ref used } => repeat_copies::told(context, vm, used),
        Told::AskRepeats { ref vm } => repeat_copies::asked(context, vm, from),
        Told::KeptRepeats { ref used } => repeat_copies::answered(context, used, from),
    }
}
