//! The metrics of the manifest, the peer links and the fleet.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels a count by its kind.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    kind: &'static str,
}

/// Counts by kind.
pub type ByKind = Family<KindLabel, Counter>;

/// The metrics of the manifest, peers and fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetMetrics {
    /// The newest generation that any source has announced.
    pub manifest_heard: Gauge,
    /// Service objects of a newer manifest that this VM does not have yet.
    pub manifest_missing: Gauge,
    /// Roots and service objects that were corrupt or inconsistent.
    pub manifest_faults: Counter,
    /// Open links to peers, in both directions.
    pub peer_links: Gauge,
    /// Bytes of peer links, by direction.
    pub peer_bytes: ByKind,
    /// Peer links that failed or ended, by cause.
    pub peer_link_ends: ByKind,
    /// Load notes on backend servers, by direction.
    pub peer_notes: ByKind,
    /// Messages to peers that were dropped: over the byte budget, or a channel or list was full.
    pub peer_over_budget: Counter,
    /// Members of the fleet, by state.
    pub members: Family<KindLabel, Gauge>,
}

impl FleetMetrics {
    /// Builds the metrics and adds them to a registry.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let m = metrics.clone();
        registry.register("manifest_heard", "Newest told of", m.manifest_heard);
        registry.register("manifest_missing_objects", "Missing", m.manifest_missing);
        registry.register("manifest_faults", "Corrupt parts", m.manifest_faults);
        registry.register("peer_links", "Live links", m.peer_links);
        registry.register("peer_bytes", "Bytes of peer links", m.peer_bytes);
        registry.register("peer_link_ends", "Links that ended", m.peer_link_ends);
        registry.register("peer_notes", "Notes on servers", m.peer_notes);
        registry.register("peer_over_budget", "Not sent", m.peer_over_budget);
        registry.register("members", "Members of the fleet", m.members);
        metrics
    }

    /// Counts bytes of peer links.
    pub fn count_peer_bytes(&self, kind: &'static str, bytes: u64) {
        self.peer_bytes
            .get_or_create(&KindLabel { kind })
            .inc_by(bytes);
    }

    /// Returns the bytes of peer links so far, both directions.
    pub fn all_peer_bytes(&self) -> u64 {
        let kinds = ["sent", "received"].into_iter();
        let counts = kinds.map(|kind| self.peer_bytes.get_or_create(&KindLabel { kind }).get());
        counts.sum()
    }

    /// Counts load notes on backend servers.
    pub fn count_notes(&self, kind: &'static str, notes: usize) {
        let counter = self.peer_notes.get_or_create(&KindLabel { kind });
        counter.inc_by(notes as u64);
    }

    /// Returns the number of load notes on backend servers so far, in one direction.
    pub fn notes(&self, kind: &'static str) -> u64 {
        self.peer_notes.get_or_create(&KindLabel { kind }).get()
    }

    /// Counts the end of a peer link.
    pub fn count_link_end(&self, kind: &'static str) {
        self.peer_link_ends.get_or_create(&KindLabel { kind }).inc();
    }

    /// Sets the number of members in a state.
    pub fn set_members(&self, kind: &'static str, count: usize) {
        let gauge = self.members.get_or_create(&KindLabel { kind });
        gauge.set(count as i64);
    }
}
