//! The socket by which the VMs of a zone tell each other what they learn of servers, and what it carries.

use std::net::SocketAddr;

use kingcuploft::world::ids::BackendServerName;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// What one VM tells the others of a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Told {
    /// Its load, as it has just said.
    Reading {
        /// The server.
        server: BackendServerName,
        /// Requests it works on.
        running: u32,
        /// Requests that wait at it.
        waiting: u32,
        /// How many it works on at once.
        slots: u32,
        /// How long work takes there now, 1 is usual.
        slowness: f64,
        /// For how many milliseconds more it is cold, if it said whether it is.
        #[serde(default)]
        cold_ms: Option<u64>,
    },
    /// A request is on its way there, which its last reading does not count: without this, all VMs
    /// that know the same reading send to the same server.
    Sent {
        /// The server.
        server: BackendServerName,
    },
    /// A turn is asked for at a server whose limit the other keeps.
    AskTurn {
        /// The server.
        server: BackendServerName,
        /// How long the request waits for it at most, in milliseconds.
        patience_ms: u64,
        /// Tells the answer from others.
        ask: u64,
    },
    /// The answer to that.
    Turn {
        /// What was asked.
        ask: u64,
        /// When the turn is, or would be.
        after_ms: u64,
        /// Whether it is given.
        given: bool,
    },
}

/// The other VMs of the zone, and the socket to them.
#[derive(Debug)]
pub struct ZoneSocket {
    socket: UdpSocket,
}

impl ZoneSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Tells the others.
    pub fn tell(&self, told: &Told, others: &[SocketAddr]) {
        let Ok(bytes) = serde_json::to_vec(told) else {
            return;
        };
        for other in others {
            // A full or failing socket costs the others a probe, nothing else.
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }

    /// Returns what another VM tells next, and which; nothing if it can't be read.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn hear(&self, buffer: &mut [u8]) -> std::io::Result<Option<(Told, SocketAddr)>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        let told = serde_json::from_slice(&buffer[..length]).ok();
        Ok(told.map(|told| (told, from)))
    }
}
