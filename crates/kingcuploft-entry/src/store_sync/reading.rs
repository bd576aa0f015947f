//! Reads the store for the VMs that follow this one, or for this one alone.

use std::time::{Duration, Instant};

use kingcuploft::entry::readers::Source;

use super::{CHECK_INTERVAL, StoreSync};
use crate::clock;
use crate::peers::dial::Dial;
use crate::peers::frame::Frame;
use crate::peers::seeds;
use crate::store::Store;
use crate::zone_list::Staleness;

/// The time between two lists of the zones by a VM that reads the store. Other zones grow meanwhile, and what all VMs
/// may use together is divided by the VMs counted.
const LIST_INTERVAL: Duration = Duration::from_secs(3);

/// How long a VM can reach none of those that its zone's record names before it adds itself to the record; chance adds
/// as much again.
const UNREACHABLE_PEERS_TIMEOUT: Duration = Duration::from_secs(2);

/// The most VMs to which one that has no feeder says at a time that it knows all.
const MAX_OFFERS: usize = 3;

impl<S: Store, D: Dial + Clone + 'static> StoreSync<'_, S, D> {
    /// Says to the VMs that the zone's record names first that this one knows all: they may be back and know nothing, and
    /// the record may not name this VM.
    fn offer_knowledge(&self) {
        if !self.context.knows_all() {
            return;
        }
        let named = self.own_zone_record().map(|record| record.vms);
        let others = named.into_iter().flatten();
        let others = others.filter(|vm| vm.name != self.own.name);
        let addresses = others.map(|vm| vm.address).take(MAX_OFFERS);
        seeds::send_to_each(self.network, addresses, &Frame::Informed(self.own.clone()));
    }

    /// Reads the store until this VM is to follow another.
    pub(super) async fn read_store(&self, source: Source) {
        self.store_access.start_reading();
        let started_at = clock::now();
        let append_delay = UNREACHABLE_PEERS_TIMEOUT.mul_f64(1.0 + fastrand::f64());
        let mut listed_at: Option<Instant> = None;
        while self.source() == source {
            let is_list_due = listed_at.is_none_or(|at| clock::since(at) >= LIST_INTERVAL);
            if self.store_access.is_available() && is_list_due && self.own_zone_record().is_some() {
                self.list_zones(Staleness::Allowed).await;
                listed_at = Some(clock::now());
                continue;
            }
            if source == Source::StoreAlone {
                self.offer_knowledge();
                if clock::since(started_at) >= append_delay {
                    self.append_self().await;
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
