//! Keeps the record of a zone in the store up to date, on the VM that leads the zone.

use std::time::{Duration, Instant};

use kingcuploft::entry::zone_record::{
    self, SETTLE_TIME, ZoneCount, ZoneRecord, ZoneView, handed_to_larger, refreshed,
};

use super::{
    CATCH_UP_TIME, CHECK_INTERVAL, CLAIM_TIMEOUT, STORE_RETRY_DELAY, StoreSync, ZonesListed,
};
use crate::clock;
use crate::peers::dial::Dial;
use crate::peers::seeds;
use crate::store::{Store, StoreError, WriteOutcome, ZoneWrite};
use crate::store_watcher;
use crate::zone_list::Staleness;

/// How long the seeds are sent the record again and again once this VM leads, or has lost followers: the seeds may be
/// among the VMs that went, and are back later, without it.
const REPUBLISH_TIME: Duration = Duration::from_secs(10);

/// The time in which this VM leads its zone without a break: what it has seen of the zone before counts no more.
struct Leadership {
    since: Instant,
    count: ZoneCount,
}

impl Leadership {
    fn begin() -> Self {
        Self {
            since: clock::now(),
            count: ZoneCount::default(),
        }
    }

    fn forget_count(&mut self) {
        self.count = ZoneCount::default();
    }
}

impl<S: Store, D: Dial + Clone + 'static> StoreSync<'_, S, D> {
    /// Keeps the zone's record up to date whenever this VM leads its zone, whether it reads the store or follows the
    /// reader of another zone.
    pub(super) async fn lead_zone(&self) {
        let mut leadership: Option<Leadership> = None;
        let (mut followers, mut changed_at) = (0, clock::now());
        loop {
            let followers_before = std::mem::replace(&mut followers, self.context.followers.len());
            if leadership.is_none() || followers < followers_before {
                changed_at = clock::now();
            }
            let is_leader = self.is_zone_leader() && !self.context.shutdown.is_stopping();
            let has_store = !self.store_access.is_reading() || self.store_access.is_available();
            match is_leader {
                true if has_store => {
                    if clock::since(changed_at) < REPUBLISH_TIME {
                        self.publish_to_seeds();
                    }
                    let leadership = leadership.get_or_insert_with(Leadership::begin);
                    self.maintain_record(leadership).await;
                }
                // Its followers look for another feeder meanwhile.
                true => leadership.iter_mut().for_each(Leadership::forget_count),
                false => leadership = None,
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Creates the zone's record, hands the zone over to a larger VM, or replaces a record that no longer describes the
    /// zone.
    async fn maintain_record(&self, leadership: &mut Leadership) {
        let Some(old) = self.own_zone_record() else {
            self.query_seeds().await;
            return self.claim().await;
        };
        let (followers, zone) = (&self.context.followers, &self.own.zone);
        let seen = ZoneView {
            own: self.own.clone(),
            followers: followers.vms(zone),
            descendants: followers.descendants(zone),
        };
        if let Some(record) = handed_to_larger(&old, &seen) {
            tracing::info!(event = "reader_hands_over", version = record.version);
            store_watcher::apply_zone_records(self.context, vec![record]);
            // The last frames to the followers must be on their way before the links are closed.
            tokio::time::sleep(CATCH_UP_TIME).await;
            return followers.disconnect_all();
        }
        let observed = seen.descendants + 1;
        let holds = leadership
            .count
            .stable_count(clock::now(), old.count, observed);
        let settled = old.settled || clock::since(leadership.since) >= SETTLE_TIME;
        // Zones that started at the same time are known before this zone counts as counted.
        if settled
            && !old.settled
            && self.list_zones(Staleness::Allowed).await == ZonesListed::NotNow
        {
            return;
        }
        if let Some(record) = refreshed(&old, &seen, holds, settled) {
            store_watcher::apply_zone_records(self.context, vec![record]);
        }
        let has_lost_followers = seen.followers.is_empty() && holds > 1;
        self.reset_stored_version_after_rewind();
        if let Some(record) = self
            .own_zone_record()
            .filter(|r| r.version > self.stored_version.get() && !has_lost_followers)
        {
            self.write(record, ZoneWrite::Replace).await;
        }
    }

    /// Sends the seeds the zone's record: after an outage they know none themselves.
    fn publish_to_seeds(&self) {
        if let Some(record) = self.own_zone_record() {
            seeds::publish(self.network, self.context.settings.seeds.clone(), record);
        }
    }

    /// Claims the zone if it has no record yet, or learns who has.
    ///
    /// Load pattern: the large VMs of a zone start together, and none knows of another. If each read the store at once, it
    /// would be read by all of them instead of one.
    pub(super) async fn claim_unrecorded_zone(&self) {
        if self.own_zone_record().is_none() {
            let _ = tokio::time::timeout(CLAIM_TIMEOUT, self.claim()).await;
        }
    }

    /// Creates the record of a zone that has none, with this VM as its reader.
    async fn claim(&self) {
        let record = ZoneRecord::first(self.own);
        match self
            .store
            .write_zone_record(&record, ZoneWrite::Create)
            .await
        {
            Ok(WriteOutcome::AlreadyExists) => {
                self.list_zones(Staleness::Refused).await;
            }
            Ok(WriteOutcome::Done | WriteOutcome::NotFound) => {
                tracing::info!(event = "zone_recorded", version = record.version);
                self.stored_version.set(record.version);
                store_watcher::apply_zone_records(self.context, vec![record.clone()]);
                seeds::publish(self.network, self.context.settings.seeds.clone(), record);
            }
            Err(error) => self.back_off(&error).await,
        }
    }

    /// Adds this VM to the record, beside the VMs that it can't reach.
    pub(super) async fn append_self(&self) {
        let old = self.own_zone_record();
        let record = old.and_then(|old| zone_record::with_unreachable_vm(&old, self.own));
        if let Some(record) = record {
            self.write(record, ZoneWrite::Replace).await;
        }
    }

    /// Writes the record, and creates it where the store holds none.
    async fn write(&self, record: ZoneRecord, how: ZoneWrite) {
        match self.store.write_zone_record(&record, how).await {
            Ok(WriteOutcome::NotFound) => {
                self.stored_version.set(0);
                Box::pin(self.write(record, ZoneWrite::Create)).await;
            }
            Ok(WriteOutcome::Done | WriteOutcome::AlreadyExists) => {
                let (version, count) = (record.version, record.count);
                tracing::info!(event = "zone_recorded", version, count);
                self.stored_version.set(version);
                self.stored_at_rewind.set(self.context.rewinds.count());
                store_watcher::apply_zone_records(self.context, vec![record]);
            }
            Err(error) => self.back_off(&error).await,
        }
    }

    /// Assumes that the store holds no record if it was restored from an older copy since the record was written. The
    /// copy may hold an older record, and a list that may be stale may still return the record from before.
    fn reset_stored_version_after_rewind(&self) {
        if self.stored_at_rewind.get() != self.context.rewinds.count() {
            self.stored_version.set(0);
        }
    }

    /// Logs a failed write of the record, and pauses.
    async fn back_off(&self, error: &StoreError) {
        tracing::warn!(event = "zone_not_recorded", %error);
        tokio::time::sleep(STORE_RETRY_DELAY.mul_f64(1.0 + fastrand::f64())).await;
    }
}
