//! What one VM has just learned of a server's load, told to the other VMs of its zone.
//!
//! Load pattern: several VMs of a zone ask the same few servers, each for itself, and under overload the
//! probes take slots from work. A reading is worth as much to the others: a datagram within the zone
//! takes a tenth of a millisecond and costs no bytes between zones. One that is lost costs a probe.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::placement::Reading;
use kingcuploft::world::ids::BackendServerName;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;

/// The most VMs that tell each other all readings. In a larger zone each VM asks servers of its own,
/// and telling all would cost more than it saves.
const MOST_VMS: usize = 8;

/// The most bytes of a datagram.
const MOST_BYTES: usize = 512;

/// The pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(20);

/// What one VM tells the others of a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Told {
    /// Its load, as it has just said.
    Reading {
        server: BackendServerName,
        running: u32,
        waiting: u32,
        slots: u32,
        slowness: f64,
    },
    /// A request is on its way there, which its last reading does not count: without this, all VMs
    /// that know the same reading send to the same server.
    Sent { server: BackendServerName },
}

/// The other VMs of the zone, and the socket to them.
#[derive(Debug)]
pub struct Readings {
    socket: UdpSocket,
}

impl Readings {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    fn tell(&self, told: &Told, others: &[SocketAddr]) {
        let Ok(bytes) = serde_json::to_vec(told) else {
            return;
        };
        for other in others {
            // A full or failing socket costs the others a probe, nothing else.
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }
}

/// Tells the other VMs of the zone a reading.
pub fn tell(context: &Context, server: &BackendServerName, reading: Reading) {
    let told = Told::Reading {
        server: server.clone(),
        running: reading.running,
        waiting: reading.waiting,
        slots: reading.slots,
        slowness: reading.slowness,
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
pub async fn receive(context: Rc<Context>) {
    let Some(readings) = context.peer_readings.get() else {
        return;
    };
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let received = readings.socket.recv_from(&mut buffer).await;
        let Ok((length, _)) = received else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if let Ok(told) = serde_json::from_slice::<Told>(&buffer[..length]) {
            take(&context, &told);
        }
    }
}

fn take(context: &Context, told: &Told) {
    let now = Instant::now();
    match *told {
        Told::Reading {
            ref server,
            running,
            waiting,
            slots,
            slowness,
        } => {
            let reading = Reading {
                running,
                waiting,
                slots,
                slowness,
            };
            if let Some(upstream) = context.upstream(server) {
                upstream.told(now, reading);
                context.readings.notify_waiters();
            }
        }
        Told::Sent { ref server } => {
            if let Some(upstream) = context.upstream(server) {
                upstream.others_sent(now);
            }
        }
    }
}
