//! Probes the liveness of the platform's store while this VM reads it.
//!
//! Failure: the store, or the connection to it, stops answering, which looks the same as a watch that waits for a
//! change. So the store is probed by a cheap call. When a probe fails the watches are given up, and resume from their
//! revision when the store answers again. A probe also returns a revision that the store has reached, by which
//! [`crate::watch_check`] finds watches that are behind.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::era::era_of;
use kingcuploft::entry::store_contact::StoreAnswer;
use kingcuploft::planted::{self, PlantedFault};

use crate::clock;
use crate::context::Context;
use crate::peers::frame::Frame;
use crate::peers::sync_status::sync_status;
use crate::store::{Collection, Store};
use crate::store_access::StoreAccess;
use crate::store_watcher::{self, ReturnSource};

/// The time between two probes. With [`PROBE_TIMEOUT`] and [`OUTAGE_PROBE_INTERVAL`], a change is known within 2 s of
/// the store's return, which is as long as a leaving server still serves.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// The same for a VM with followers: they must not wait longer for its loss of the store than for their own.
const PROBE_INTERVAL_WITH_FOLLOWERS: Duration = Duration::from_millis(400);

/// The time between two probes while the store is not available. Each costs as much as a full call.
const OUTAGE_PROBE_INTERVAL: Duration = Duration::from_millis(350);

/// The same for a VM that knows nothing and that other VMs will inform as soon as the store answers one of them; random
/// jitter up to the same is added. After an outage of all VMs and the store, hundreds of them probe.
const OUTAGE_PROBE_INTERVAL_WHEN_FED: Duration = Duration::from_millis(1000);

/// How long a probe waits for its answer: twice the slowest answer of a store that is slow but available.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Probes the store while this VM reads it, until the process ends.
pub async fn monitor<S: Store>(context: Rc<Context>, store: Rc<S>, store_access: Rc<StoreAccess>) {
    loop {
        store_access.wait_until_reading().await;
        let asked_at = clock::now();
        let answer = tokio::time::timeout(PROBE_TIMEOUT, store.probe_liveness()).await;
        let reached = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.as_ref().ok().copied());
        if let Some(reached) = reached {
            store_watcher::note_era(&context, era_of(reached));
        }
        // A store that takes the call for a wrong one has answered; and the answer may be queued behind another, long one.
        let is_available = match &answer {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => error.is_lasting(),
            Err(_) => received_bytes_since(&*store, asked_at),
        };
        let has_changed = store_access.set_available(is_available);
        record_contact(&context, asked_at, is_available);
        if has_changed && is_available && planted::is_on(PlantedFault::MistakesOutages) {
            store_watcher::note_store_return(&context, ReturnSource::Probe(Duration::ZERO));
        }
        if has_changed {
            if !is_available {
                tracing::warn!(event = "store_away");
            }
            // Followers learn it at once, as one of them may still reach the store.
            let status = sync_status(&context, &store_access);
            context.followers.send(&Frame::Status(status));
        }
        store_access.probe_completed(reached);
        let pause = match (is_available, context.followers.is_empty()) {
            (false, _) if will_be_fed(&context) => {
                OUTAGE_PROBE_INTERVAL_WHEN_FED.mul_f64(1.0 + fastrand::f64())
            }
            (false, _) => OUTAGE_PROBE_INTERVAL,
            (true, true) => PROBE_INTERVAL,
            (true, false) => PROBE_INTERVAL_WITH_FOLLOWERS,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns whether this VM follows one that has the store.
fn has_store_by_feeder(context: &Context) -> bool {
    context.feeder.borrow().is_some() && context.reader_has_store.get()
}

/// Records whether a probe was answered. The answer that ends an outage in which entries may have expired is told to the
/// followers before anything else.
fn record_contact(context: &Context, asked_at: Instant, is_available: bool) {
    let mut contact = context.store_contact.get();
    let heartbeat = context.bounds.get().heartbeat;
    let answer = match is_available {
        true => Some(contact.call_answered(clock::now(), heartbeat)),
        // The probe began before the feeder had the store again.
        false if has_store_by_feeder(context) => None,
        false => {
            contact.call_failed(asked_at);
            None
        }
    };
    context.store_contact.set(contact);
    match answer {
        None | Some(StoreAnswer::InContact) => {}
        Some(StoreAnswer::BackSoon(away_for)) => {
            let away_ms = away_for.as_millis() as u64;
            tracing::info!(event = "store_back", away_ms, may_expire = false);
        }
        Some(StoreAnswer::BackAfterOutage(away_for)) => {
            store_watcher::note_store_return(context, ReturnSource::Probe(away_for));
        }
    }
}

/// Returns whether bytes of any answer have arrived since a moment.
fn received_bytes_since<S: Store>(store: &S, since: Instant) -> bool {
    let last_received = Collection::WATCHED
        .into_iter()
        .filter_map(|c| store.last_received_at(c));
    last_received
        .max()
        .is_some_and(|last_received| last_received > since)
}

/// Returns whether other VMs will inform this one: it is not ready yet, and is neither a seed nor named in the zone
/// record, which are the VMs that others ask.
fn will_be_fed(context: &Context) -> bool {
    let settings = &context.settings;
    let is_seed = settings
        .control_address
        .is_some_and(|own| settings.seeds.contains(&own));
    let readers = context.readers.borrow();
    let record = readers.record(&settings.zone);
    let is_named = record.is_some_and(|record| record.vms.iter().any(|vm| vm.name == settings.vm));
    !context.is_ready() && !is_seed && !is_named && !settings.seeds.is_empty()
}
