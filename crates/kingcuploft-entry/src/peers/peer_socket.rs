//! Datagrams between VMs: what they have just learned of backend servers, and what they share of limits and of the
//! budget of repeats. Names that are sent are wire text; where the code uses another name, a serde attribute keeps the
//! one on the wire.

use std::net::SocketAddr;

use kingcuploft::entry::quota::message::{Confirmation, Deposit};
use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::world::ids::{BackendServerName, ServiceName, VmName};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// A message from one VM to others, one a datagram.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// The load that a backend server has just reported.
    #[serde(rename = "Reading")]
    LoadReport {
        /// The server.
        server: BackendServerName,
        /// Requests that run on it.
        running: u32,
        /// Requests that are queued at it.
        waiting: u32,
        /// How many requests it runs at once.
        slots: u32,
        /// The factor by which work takes longer there than usual; 1 is usual.
        slowness: f64,
        /// For how many more milliseconds it is cold, if it said whether it is.
        #[serde(default)]
        cold_ms: Option<u64>,
    },
    /// A request is on its way to a server, and not counted in the server's last load report. Without this message, all
    /// VMs that know the same report send to the same server.
    #[serde(rename = "Sent")]
    RequestSent {
        /// The server.
        server: BackendServerName,
    },
    /// Requests a turn at a server whose limit the receiver owns.
    #[serde(rename = "AskTurn")]
    TurnRequest {
        /// The server.
        server: BackendServerName,
        /// How long the caller's request may wait for the turn, in milliseconds.
        #[serde(rename = "patience_ms")]
        max_wait_ms: u64,
        /// The id that the reply repeats.
        #[serde(rename = "ask")]
        request_id: u64,
    },
    /// The reply to a `TurnRequest`.
    #[serde(rename = "Turn")]
    TurnReply {
        /// The id of the request.
        #[serde(rename = "ask")]
        request_id: u64,
        /// In how many milliseconds the turn is, or would be.
        after_ms: u64,
        /// Whether the turn is granted.
        #[serde(rename = "given")]
        granted: bool,
    },
    /// A server names another limit than before; sent to the VMs that own the limit.
    #[serde(rename = "Limit")]
    LimitChanged {
        /// The server.
        server: BackendServerName,
        /// How many requests a second the server takes now.
        per_s: f64,
    },
    /// What a VM has used of the budget of repeats, for the receiver to keep.
    #[serde(rename = "Repeats")]
    RepeatsUsed {
        /// The VM.
        vm: VmName,
        /// What it has used.
        used: UsageReport,
    },
    /// Asks for what the receiver keeps for a VM that has just started.
    #[serde(rename = "AskRepeats")]
    RepeatsRequest {
        /// The VM.
        vm: VmName,
    },
    /// Asks whether the receiver reaches the servers of a service and would pass on requests for it.
    ReachRequest {
        /// The service.
        service: ServiceName,
        /// The version of the configuration by which the requests are routed.
        configuration: u64,
    },
    /// The reply to a `ReachRequest`.
    ReachReply {
        /// The service.
        service: ServiceName,
        /// Whether its servers are in reach.
        reaches: bool,
    },
    /// Entrusts the sender's share of the fleet's time to the keeper of quotas.
    QuotaDeposit(Deposit),
    /// The reply to a `QuotaDeposit`.
    QuotaConfirmation(Confirmation),
    /// The reply to a `RepeatsRequest`, if anything is kept.
    #[serde(rename = "KeptRepeats")]
    RepeatsReply {
        /// What the VM had used before it started.
        used: UsageReport,
    },
}

/// Sends messages to other VMs. A lost message is not sent again.
pub trait PeerSender: std::fmt::Debug {
    /// Sends a message to each of these addresses.
    fn send(&self, message: &PeerMessage, others: &[SocketAddr]);
}

/// The UDP socket for messages of other VMs.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self { socket })
    }

    /// Receives the next message and its sender's address; returns `None` for a datagram that can't be decoded.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn receive(
        &self,
        buffer: &mut [u8],
    ) -> std::io::Result<Option<(PeerMessage, SocketAddr)>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        let datagram = buffer.get(..length).unwrap_or_default();
        let message = serde_json::from_slice(datagram).ok();
        Ok(message.map(|message| (message, from)))
    }
}

impl PeerSender for PeerSocket {
    fn send(&self, message: &PeerMessage, others: &[SocketAddr]) {
        let Ok(bytes) = serde_json::to_vec(message) else {
            return;
        };
        for other in others {
            // A message that a full or failing socket drops costs its receivers a probe at most: all else is sent
            // again.
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }
}
