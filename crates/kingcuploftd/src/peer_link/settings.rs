//! The settings of the peer links.

use std::net::SocketAddr;
use std::path::PathBuf;

use kingcuploft::settings::membership::MembershipSettings;
use serde::Deserialize;

/// The settings of this VM's links with other entry VMs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Where other VMs connect; without it there are no links.
    pub listen: Option<SocketAddr>,
    /// The address that is advertised to other VMs; `listen` if absent.
    pub address: Option<SocketAddr>,
    /// The first addresses to dial, until the platform or a peer names others.
    pub peers: Vec<SocketAddr>,
    /// The files for mutual TLS.
    pub tls: Option<TlsFiles>,
    /// Whether links without TLS are allowed on other than loopback addresses.
    pub plain: bool,
    /// The settings of the failure detector and the gossip.
    pub membership: MembershipSettings,
    /// The byte budget of the links.
    pub budget: PeerBudget,
}

/// The byte budget of the links.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerBudget {
    /// Bytes sent in a second on average, heartbeats included.
    pub bytes_per_s: u64,
    /// Bytes that may be sent at once after an idle period, such as a changed manifest.
    pub burst_bytes: u64,
}

impl Default for PeerBudget {
    fn default() -> Self {
        Self {
            bytes_per_s: 2048,
            burst_bytes: 256 * 1024,
        }
    }
}

/// The files for mutual TLS, in PEM; read again when they change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// This VM's certificate chain.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authority that signs every VM's certificate.
    pub ca: PathBuf,
}

impl PeerSettings {
    /// Returns why these settings cannot be used; `None` if they can.
    pub fn fault(&self) -> Option<&'static str> {
        let listen = self.listen?;
        let open = self.tls.is_none() && !self.plain && !listen.ip().is_loopback();
        if open {
            return Some(
                "peer.listen is not a loopback address: peer.tls or `plain: true` is needed",
            );
        }
        let shown = self.address.unwrap_or(listen);
        if shown.ip().is_unspecified() {
            return Some("peer.address is needed where peer.listen is not a single address");
        }
        let beats = &self.membership;
        if beats.beat_ms == 0 || beats.suspect_ms < 2 * beats.beat_ms {
            return Some("peer.membership.suspect_ms must be at least two beat_ms");
        }
        None
    }
}
