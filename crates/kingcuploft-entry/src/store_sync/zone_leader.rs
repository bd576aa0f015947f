//! The record of a zone, kept true by the VM that leads it.

use std::time::Instant;

use kingcuploft::entry::zone_record::{
    self, SETTLE_TIME, ZoneRecord, ZoneView, handed_to_larger, refreshed,
};

use super::{CATCH_UP_TIME, CHECK_INTERVAL, STORE_RETRY_DELAY, StoreSync};
use crate::clock;
use crate::peers::dial::Dial;
use crate::peers::seeds;
use crate::store::{Store, StoreError, WriteOutcome, ZoneWrite};
use crate::store_watcher;
use crate::zone_list::Staleness;

impl<S: Store, D: Dial + Clone + 'static> StoreSync<'_, S, D> {
    /// Keeps the zone's record true whenever this VM leads its zone, whether it reads or follows the reader of another.
    pub(super) async fn lead_zone(&self) {
        let mut led_since: Option<Instant> = None;
        loop {
            let leads = self.is_zone_leader() && !self.context.is_stopping();
            let has_store = !self.pulse.is_reading() || self.pulse.is_available();
            match leads {
                true if has_store => {
                    if led_since.is_none() {
                        self.publish_to_seeds();
                    }
                    self.maintain_record(*led_since.get_or_insert_with(clock::now))
                        .await;
                }
                true => {}
                false => led_since = None,
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn maintain_record(&self, begun: Instant) {
        let Some(old) = self.own_zone_record() else {
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
            // What the followers are told last must be on its way before their links end.
            tokio::time::sleep(CATCH_UP_TIME).await;
            return followers.disconnect_all();
        }
        let mut vm_count = self.vm_count.get();
        let holds = vm_count.stable_count(clock::now(), old.count, seen.descendants + 1);
        self.vm_count.set(vm_count);
        let settled = old.settled || clock::since(begun) >= SETTLE_TIME;
        // Zones that began together with this one are known before it takes itself for counted.
        if settled && !old.settled && !self.list_zones(Staleness::Allowed).await {
            return;
        }
        if let Some(record) = refreshed(&old, &seen, holds, settled) {
            store_watcher::apply_zone_records(self.context, vec![record]);
        }
        let alone = seen.followers.is_empty() && holds > 1;
        self.doubt_stored_version();
        if let Some(record) = self
            .own_zone_record()
            .filter(|r| r.version > self.stored_version.get() && !alone)
        {
            self.write(record, ZoneWrite::Replace).await;
        }
    }

    /// Tells the seeds what this VM knows of its zone: after an outage they know nothing themselves.
    fn publish_to_seeds(&self) {
        if let Some(record) = self.own_zone_record() {
            seeds::publish(self.network, self.context.settings.seeds.clone(), record);
        }
    }

    /// Makes this VM the reader of a zone that has no record.
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

    /// Names this VM in the record beside those that it can't reach.
    pub(super) async fn append_self(&self) {
        let old = self.own_zone_record();
        let record = old.and_then(|old| zone_record::with_unreachable_vm(&old, self.own));
        if let Some(record) = record {
            self.write(record, ZoneWrite::Replace).await;
        }
    }

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

    /// Takes the store to hold no record if it came back from a copy since it was written: a copy may hold an older one, and
    /// what a list allows to be stale may tell of the one before.
    fn doubt_stored_version(&self) {
        if self.stored_at_rewind.get() != self.context.rewinds.count() {
            self.stored_version.set(0);
        }
    }

    async fn back_off(&self, error: &StoreError) {
        tracing::warn!(event = "zone_not_recorded", %error);
        tokio::time::sleep(STORE_RETRY_DELAY.mul_f64(1.0 + fastrand::f64())).await;
    }
}
