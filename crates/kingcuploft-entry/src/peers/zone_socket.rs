//! The socket by which VMs tell each other what they learn of servers and what they have used together, and what it
//! carries.

use std::net::SocketAddr;

use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::world::ids::{BackendServerName, VmName};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// What one VM tells others.
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
    /// A server names another limit than before; told to those that keep it.
    Limit {
        /// The server.
        server: BackendServerName,
        /// How many requests a second it takes now.
        per_s: f64,
    },
    /// What a VM has used of the budget of repeats, for others to keep.
    Repeats {
        /// The VM.
        vm: VmName,
        /// What it has used.
        used: UsageReport,
    },
    /// A VM that has just started asks what is kept for it.
    AskRepeats {
        /// The VM.
        vm: VmName,
    },
    /// The answer to that, if anything is kept.
    KeptRepeats {
        /// What it had used.
        used: UsageReport,
    },
}

/// Carries what one VM tells others. What is lost is not sent again.
pub trait Telling: std::fmt::Debug {
    /// Tells others.
    fn tell(&self, told: &Told, others: &[SocketAddr]);
}

/// The socket to other VMs.
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

impl Telling for ZoneSocket {
    fn tell(&self, told: &Told, others: &[SocketAddr]) {
        let Ok(bytes) = serde_json::to_vec(told) else {
            return;
        };
        for other in others {
            // A full or failing socket costs the others a probe, and nothing that isn't told again.
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }
}
