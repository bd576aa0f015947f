//! The record of a zone, kept true by the VM that leads it.

use std::time::Instant;

use kingcuploft::entry::zone_record::{
    self, SETTLE_TIME, ZoneRecord, ZoneView, handed_to_larger, refreshed,
};

use super::{CATCH_UP, LOOK_EVERY, PAUSE, Roster};
use crate::clock;
use crate::keeper;
use crate::peers::dial::Dial;
use crate::peers::seeds;
use crate::store::{Recorded, Recording, Store, StoreError};
use crate::zone_list::Staleness;

impl<S: Store, D: Dial + Clone + 'static> Roster<'_, S, D> {
    /// Keeps the zone's record true whenever this VM leads its zone, whether it reads or follows the reader of another.
    pub(super) async fn lead(&self) {
        let mut led_since: Option<Instant> = None;
        loop {
            let leads = self.leads() && !self.context.is_stopping();
            let has_store = !self.pulse.is_reading() || self.pulse.is_there();
            match leads {
                true if has_store => {
                    if led_since.is_none() {
                        self.tell_seeds();
                    }
                    self.tend(*led_since.get_or_insert_with(clock::now)).await;
                }
                true => {}
                false => led_since = None,
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn tend(&self, begun: Instant) {
        let Some(old) = self.record() else {
            return self.claim().await;
        };
        let (followers, zone) = (&self.context.followers, &self.own.zone);
        let seen = ZoneView {
            own: self.own.clone(),
            followers: followers.vms(zone),
            descendants: followers.below(zone),
        };
        if let Some(record) = handed_to_larger(&old, &seen) {
            tracing::info!(event = "reader_hands_over", version = record.version);
            keeper::zones(self.context, vec![record]);
            // What the followers are told last must be on its way before their links end.
            tokio::time::sleep(CATCH_UP).await;
            return followers.let_go();
        }
        let mut count = self.count.get();
        let holds = count.stable_count(clock::now(), old.count, seen.descendants + 1);
        self.count.set(count);
        let settled = old.settled || clock::since(begun) >= SETTLE_TIME;
        // Zones that began together with this one are known before it takes itself for counted.
        if settled && !old.settled && !self.list(Staleness::Allowed).await {
            return;
        }
        if let Some(record) = refreshed(&old, &seen, holds, settled) {
            keeper::zones(self.context, vec![record]);
        }
        let alone = seen.followers.is_empty() && holds > 1;
        self.doubt_stored();
        if let Some(record) = self
            .record()
            .filter(|r| r.version > self.stored.get() && !alone)
        {
            self.write(record, Recording::Replace).await;
        }
    }

    /// Tells the seeds what this VM knows of its zone: after an outage they know nothing themselves.
    fn tell_seeds(&self) {
        if let Some(record) = self.record() {
            seeds::tell(self.network, self.context.settings.seeds.clone(), record);
        }
    }

    /// Makes this VM the reader of a zone that has no record.
    async fn claim(&self) {
        let record = ZoneRecord::first(self.own);
        match self.store.record_zone(&record, Recording::Create).await {
            Ok(Recorded::IsThere) => {
                self.list(Staleness::Refused).await;
            }
            Ok(Recorded::Done | Recorded::IsNotThere) => {
                tracing::info!(event = "zone_recorded", version = record.version);
                self.stored.set(record.version);
                keeper::zones(self.context, vec![record.clone()]);
                seeds::tell(self.network, self.context.settings.seeds.clone(), record);
            }
            Err(error) => self.not_recorded(&error).await,
        }
    }

    /// Names this VM in the record beside those that it can't reach.
    pub(super) async fn append(&self) {
        let old = self.record();
        let record = old.and_then(|old| zone_record::with_unreachable_vm(&old, self.own));
        if let Some(record) = record {
            self.write(record, Recording::Replace).await;
        }
    }

    async fn write(&self, record: ZoneRecord, how: Recording) {
        match self.store.record_zone(&record, how).await {
            Ok(Recorded::IsNotThere) => {
                self.stored.set(0);
                Box::pin(self.write(record, Recording::Create)).await;
            }
            Ok(Recorded::Done | Recorded::IsThere) => {
                let (version, count) = (record.version, record.count);
                tracing::info!(event = "zone_recorded", version, count);
                self.stored.set(version);
                self.stored_after.set(self.context.rewinds.count());
                keeper::zones(self.context, vec![record]);
            }
            Err(error) => self.not_recorded(&error).await,
        }
    }

    /// Takes the store to hold no record if it came back from a copy since it was written: a copy may hold an older one, and
    /// what a list allows to be stale may tell of the one before.
    fn doubt_stored(&self) {
        if self.stored_after.get() != self.context.rewinds.count() {
            self.stored.set(0);
        }
    }

    async fn not_recorded(&self, error: &StoreError) {
        tracing::warn!(event = "zone_not_recorded", %error);
        tokio::time::sleep(PAUSE.mul_f64(1.0 + fastrand::f64())).await;
    }
}
