//! The protocol of the links between VMs: frames, each a JSON object on a line of its own. Names that are sent are wire
//! text; where the code uses another name, a serde attribute keeps the one on the wire.

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
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, VmName};
use serde::{Deserialize, Serialize};

use crate::store::{Collection, Revision};

/// One frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Opens a link: the sender asks to be admitted as a follower.
    Hello(Hello),
    /// Asks for a snapshot alone: the sender lacks something, and does not ask to be admitted as a follower.
    SnapshotRequest(Hello),
    /// The sender knows all and has no feeder: the receiver may ask it for a snapshot. The only frame that such a VM sends.
    Informed(VmEntry),
    /// Asks for the records of all zones; the only frame that such a VM sends.
    #[serde(rename = "WhoReads")]
    ZonesRequest,
    /// How far the sender has replicated the store; a feeder sends it after each change and as a heartbeat.
    #[serde(rename = "Standing")]
    Status(SyncStatus),
    /// The sender is alive but not synchronized yet, and will send a snapshot once it is.
    Wait,
    /// The sender feeds as many followers as it may, and redirects the receiver to one of them.
    #[serde(rename = "Elsewhere")]
    Redirect(VmEntry),
    /// How many VMs are fed through the sender, directly or indirectly; a follower reports it to its feeder.
    #[serde(rename = "Below")]
    Descendants(u32),
    /// A VM that asks to follow the sender knows a later revision of the store than the sender.
    #[serde(rename = "Ahead")]
    FollowerAhead,
    /// The whole configuration in force: for VMs of earlier releases, and in reply to `ConfigurationRequest`.
    Configuration(Box<Configuration>),
    /// A newer version of the configuration exists; the parts that lead to it follow.
    #[serde(rename = "Newer")]
    NewerVersion(ConfigurationVersion),
    /// A part of the change that leads to a newer configuration.
    Part(Box<ChangePart>),
    /// A heartbeat: the sender is alive and its status has not changed.
    Alive,
    /// The entry of a backend server.
    Server(BackendServer),
    /// The entries of several backend servers.
    Servers(ServerTable),
    /// The entry of a backend server was removed.
    ServerGone(BackendServerName),
    /// The entries of several backend servers were removed.
    ServersGone(Vec<BackendServerName>),
    /// The entries of all backend servers; those not listed were removed.
    AllServers(ServerTable),
    /// All backend servers that the sender knows have been sent over this link, to a VM that knew none.
    ServersListed,
    /// The records of zones.
    Zones(Vec<ZoneRecord>),
    /// Notices: what VMs have observed of requests and backend servers.
    Notices(Vec<Notice>),
    /// These notices were withdrawn.
    NoticesGone(Vec<NoticeId>),
    /// All notices in the store.
    AllNotices(Vec<Notice>),
    /// All evacuated availability zones, which get no requests.
    Evacuations(Vec<AvailabilityZone>),
    /// The store was restored from an older copy and is in this era.
    Era(Era),
    /// The sender knows an older configuration than its follower, and asks for that follower's configuration.
    #[serde(rename = "Lacks")]
    ConfigurationRequest,
    /// The store answers the sender again after an outage.
    StoreReturned,
    /// An outage of the store ended so many milliseconds ago: part of a snapshot.
    StoreReturnedAgo(u64),
    /// The end of the snapshot: the sender has sent all that it knew when the link was opened.
    #[serde(rename = "Told")]
    SnapshotEnd,
}

/// Which VM asks to be fed, and what it has replicated so far.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The VM.
    pub vm: VmEntry,
    /// The latest revision of the configuration that it knows.
    pub configuration: Option<Revision>,
    /// The latest revision of the backend servers that it knows.
    pub servers: Option<Revision>,
    /// The latest revision of the evacuations that it knows.
    #[serde(default)]
    pub evacuations: Option<Revision>,
    /// How many VMs are fed through it, directly or indirectly.
    #[serde(rename = "below")]
    pub descendants: u32,
    /// The version of the configuration that the parts of a change may build on; none if it needs the whole
    /// configuration.
    #[serde(default)]
    pub version: Option<ConfigurationVersion>,
    /// Which parts of the next configuration have arrived.
    #[serde(default)]
    pub arrived: Option<AssemblyProgress>,
    /// A digest of the backend servers that it knows.
    #[serde(default)]
    pub servers_digest: Option<u64>,
    /// The version of the protocol that it understands: 6 understands all frames, 5 all but how long ago an outage ended, 4
    /// neither several removed servers at once nor the table of all servers in parts, 3 no workspaces either, 2 no
    /// evacuations either, 1 no notices either; 0 stands for the releases before these.
    #[serde(default, rename = "speaks")]
    pub protocol_version: ProtocolVersion,
}

impl Hello {
    /// Returns whether the sender knows all that requests are routed by.
    pub fn knows_all(&self) -> bool {
        self.configuration.is_some() && self.servers.is_some() && self.evacuations.is_some()
    }
}

/// A version of the protocol; each understands all frames of the ones before.
pub type ProtocolVersion = u32;

/// The version of the protocol that this release understands. It also understands the frames by which a VM asks for a
/// snapshot alone; one of an earlier release closes such a link.
pub const PROTOCOL_VERSION: ProtocolVersion = 6;

/// The first version that takes a configuration in parts.
pub const FIRST_VERSION_WITH_PARTS: ProtocolVersion = 1;

/// The first version that takes notices.
pub const FIRST_VERSION_WITH_NOTICES: ProtocolVersion = 2;

/// The first version that takes evacuations and eras, and that sends its configuration to a feeder that knows an older
/// one.
pub const FIRST_VERSION_WITH_EVACUATIONS: ProtocolVersion = 3;

/// The first version that takes workspaces. A VM of an earlier release would pass on requests without keys, and keys to
/// servers.
pub const FIRST_VERSION_WITH_WORKSPACES: ProtocolVersion = 4;

/// The first version that takes several removed servers at once, and the table of all servers in parts.
pub const FIRST_VERSION_WITH_SERVERS_GONE: ProtocolVersion = 5;

/// The first version that takes how long ago an outage of the store ended.
pub const FIRST_VERSION_WITH_RETURNS: ProtocolVersion = 6;

/// How far a VM has replicated the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncStatus {
    /// The latest revision of the configuration that it knows.
    pub configuration: Option<Revision>,
    /// The latest revision of the backend servers that it knows.
    pub servers: Option<Revision>,
    /// The latest revision of the evacuations that it knows; also none if the sender is of an earlier release.
    #[serde(default)]
    pub evacuations: Option<Revision>,
    /// Whether the sender's configuration has the workspaces that the store's has: false for earlier releases, which
    /// don't read them.
    #[serde(default)]
    pub knows_workspaces: bool,
    /// Whether the store answers the VM that reads it.
    #[serde(rename = "store_there")]
    pub store_reachable: bool,
    /// The VMs through which changes reach it: the one that reads the store first, itself last.
    pub path: Vec<VmName>,
}

impl SyncStatus {
    /// Returns the latest revision of a collection that the sender knows; none of a collection that it does not tell.
    pub fn position(&self, collection: Collection) -> Option<Revision> {
        match collection {
            Collection::Configuration => self.configuration,
            Collection::BackendServers => self.servers,
            Collection::Evacuations => self.evacuations,
            Collection::Notices | Collection::Zones => None,
        }
    }

    /// Returns the latest era of the store that the sender knows, if any.
    pub fn era(&self) -> Option<Era> {
        let known = [self.configuration, self.servers, self.evacuations];
        known.into_iter().flatten().map(era_of).max()
    }

    /// Returns whether it knows all that requests are routed by: the configuration with its workspaces, the servers and
    /// the evacuations.
    pub fn is_complete(&self) -> bool {
        let knows_all =
            self.configuration.is_some() && self.servers.is_some() && self.evacuations.is_some();
        knows_all && self.knows_workspaces
    }

    /// Returns whether this status is incomplete or behind `own` in any collection. An older entry of a server that has
    /// left would bring that server back.
    pub fn is_behind(&self, own: &Self) -> bool {
        let knows_less = self.configuration < own.configuration
            || self.servers < own.servers
            || self.evacuations < own.evacuations;
        !self.is_complete() || knows_less
    }
}

impl Frame {
    /// Encodes the frame as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
