//! The socket by which VMs tell each other what they learn of servers and what they have used together, and what it
//! carries.

use std::net::SocketAddr;

use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::world::ids::{BackendServerName, VmName};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// What one VM tells others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Its load, as it has just said.
    #[serde(rename = "Reading")]
    LoadReport {
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
    #[serde(rename = "Sent")]
    RequestSent {
        /// The server.
        server: BackendServerName,
    },
    /// A turn is asked for at a server whose limit the other keeps.
    #[serde(rename = "AskTurn")]
    TurnRequest {
        /// The server.
        server: BackendServerName,
        /// How long the request waits for it at most, in milliseconds.
        #[serde(rename = "patience_ms")]
        max_wait_ms: u64,
        /// Tells the answer from others.
        #[serde(rename = "ask")]
        request_id: u64,
    },
    /// The answer to that.
    #[serde(rename = "Turn")]
    TurnReply {
        /// What was asked.
        #[serde(rename = "ask")]
        request_id: u64,
        /// When the turn is, or would be.
        after_ms: u64,
        /// Whether it is given.
        #[serde(rename = "given")]
        granted: bool,
    },
    /// A server names another limit than before; told to those that keep it.
    #[serde(rename = "Limit")]
    LimitChanged {
        /// The server.
        server: BackendServerName,
        /// How many requests a second it takes now.
        per_s: f64,
    },
    /// What a VM has used of the budget of repeats, for others to keep.
    #[serde(rename = "Repeats")]
    RepeatsUsed {
        /// The VM.
        vm: VmName,
        /// What it has used.
        used: UsageReport,
    },
    /// A VM that has just started asks what is kept for it.
    #[serde(rename = "AskRepeats")]
    RepeatsRequest {
        /// The VM.
        vm: VmName,
    },
    /// The answer to that, if anything is kept.
    #[serde(rename = "KeptRepeats")]
    RepeatsReply {
        /// What it had used.
        used: UsageReport,
    },
}

/// Carries what one VM tells others. What is lost is not sent again.
pub trait PeerSender: std::fmt::Debug {
    /// Tells others.
    fn send(&self, message: &PeerMessage, others: &[SocketAddr]);
}

/// The socket to other VMs.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
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
    pub async fn receive(
        &self,
        buffer: &mut [u8],
    ) -> std::io::Result<Option<(PeerMessage, SocketAddr)>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        let message = serde_json::from_slice(&buffer[..length]).ok();
        Ok(message.map(|message| (message, from)))
    }
}

impl PeerSender for PeerSocket {
    fn send(&self, message: &PeerMessage, others: &[SocketAddr]) {
        let Ok(bytes) = serde_json::to_vec(message) else {
            return;
        };
        for other in others {
            // A full or failing socket costs the others a probe, and nothing that isn't told again.
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }
}
