//! What the VMs tell each other: one JSON object a line.

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::change_assembly::AssemblyProgress;
use kingcuploft::entry::configuration::{Configuration, ConfigurationVersion};
use kingcuploft::entry::configuration_change::ChangePart;
use kingcuploft::entry::era::{Era, era_of};
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::{AvailabilityZone, VmName};
use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// One line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Sent first by a VM that wants to be fed.
    Hello(Hello),
    /// Sent first by a VM that asks which VMs there are, and by nothing else.
    #[serde(rename = "WhoReads")]
    ZonesRequest,
    /// How far the sender knows the store; sent by the feeder after each change and as a heartbeat.
    #[serde(rename = "Standing")]
    Status(SyncStatus),
    /// The sender knows nothing yet, is alive, and will tell all.
    Wait,
    /// The sender feeds as many as it can; this VM may feed one more.
    #[serde(rename = "Elsewhere")]
    Redirect(VmEntry),
    /// How many VMs are fed through the sender, which is fed itself.
    #[serde(rename = "Below")]
    Descendants(u32),
    /// A VM that would be fed through the sender knows the store up to a later moment.
    #[serde(rename = "Ahead")]
    FollowerAhead,
    /// The configuration in force, whole, for VMs of earlier releases.
    Configuration(Box<Configuration>),
    /// This version of the configuration exists; what leads to it follows.
    #[serde(rename = "Newer")]
    NewerVersion(ConfigurationVersion),
    /// A part of what leads to a newer configuration.
    Part(Box<ChangePart>),
    /// The sender is alive, and will go on.
    Alive,
    /// What the store says of a backend server.
    Server(BackendServer),
    /// What the store says of several backend servers.
    Servers(ServerTable),
    /// A backend server's entry is gone.
    ServerGone(String),
    /// All backend servers that have entries; the others are gone.
    AllServers(ServerTable),
    /// The records of the zones.
    Zones(Vec<ZoneRecord>),
    /// What VMs have seen of requests and backend servers.
    Notices(Vec<Notice>),
    /// Such notices are withdrawn.
    NoticesGone(Vec<NoticeId>),
    /// All notices that the store has.
    AllNotices(Vec<Notice>),
    /// The availability zones that get nothing, all of them.
    Evacuations(Vec<AvailabilityZone>),
    /// The store came back from a copy, and is in this era.
    Era(Era),
    /// The sender knows an older configuration than the follower, and asks for that one's.
    #[serde(rename = "Lacks")]
    ConfigurationRequest,
    /// The store answers the sender again after it did not.
    StoreReturned,
    /// All that the sender knew when the link began has been told.
    #[serde(rename = "Told")]
    SnapshotEnd,
}

/// Who wants to be fed, and what it knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The VM.
    pub vm: VmEntry,
    /// Up to which moment it knows the configuration.
    pub configuration: Option<Revision>,
    /// Up to which moment it knows the backend servers.
    pub servers: Option<Revision>,
    /// Up to which moment it knows which zones are evacuated.
    #[serde(default)]
    pub evacuations: Option<Revision>,
    /// How many VMs are fed through it.
    #[serde(rename = "below")]
    pub descendants: u32,
    /// The version of the configuration that it may be led on from.
    #[serde(default)]
    pub version: Option<ConfigurationVersion>,
    /// What has arrived of the next one.
    #[serde(default)]
    pub arrived: Option<AssemblyProgress>,
    /// The digest of the backend servers that it knows.
    #[serde(default)]
    pub servers_digest: Option<u64>,
    /// The frames that it understands: 3 for all of this release, 2 for all but evacuations, 1 for no notices either, 0
    /// for those before.
    #[serde(default, rename = "speaks")]
    pub protocol_version: ProtocolVersion,
}

/// Which frames a VM understands; a greater one understands more.
pub type ProtocolVersion = u32;

/// What a VM of this release understands.
pub const PROTOCOL_VERSION: ProtocolVersion = 3;

/// The first release whose VMs take a configuration in parts.
pub const FIRST_VERSION_WITH_PARTS: ProtocolVersion = 1;

/// The first release whose VMs take notices.
pub const FIRST_VERSION_WITH_NOTICES: ProtocolVersion = 2;

/// The first release whose VMs take evacuations and eras, and tell a feeder what it lacks.
pub const FIRST_VERSION_WITH_EVACUATIONS: ProtocolVersion = 3;

/// How far a VM knows the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncStatus {
    /// Up to which moment it knows the configuration.
    pub configuration: Option<Revision>,
    /// Up to which moment it knows the backend servers.
    pub servers: Option<Revision>,
    /// Up to which moment it knows which zones are evacuated; none also where the sender is of an earlier release.
    #[serde(default)]
    pub evacuations: Option<Revision>,
    /// Whether the store answers the one that reads.
    #[serde(rename = "store_there")]
    pub store_reachable: bool,
    /// Through which VMs it hears, the one that reads first, itself last.
    pub path: Vec<VmName>,
}

impl SyncStatus {
    /// Returns the store's era as the sender knows it, if it does.
    pub fn era(&self) -> Option<Era> {
        let known = [self.configuration, self.servers, self.evacuations];
        known.into_iter().flatten().map(era_of).max()
    }

    /// Returns whether it knows all that a request is sent by: the configuration, the servers, which zones are evacuated.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.servers.is_some() && self.evacuations.is_some()
    }

    /// Returns whether a VM that stands here knows less than one that stands at `own`. What it says
    /// of a server that left would bring the server back.
    pub fn is_behind(&self, own: &Self) -> bool {
        let knows_less = self.configuration < own.configuration
            || self.servers < own.servers
            || self.evacuations < own.evacuations;
        !self.is_complete() || knows_less
    }
}

impl Frame {
    /// Writes the frame as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
