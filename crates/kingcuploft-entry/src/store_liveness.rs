//! Asks the platform's store for signs of life while this VM reads it.
//!
//! A watch that waits for a change looks the same as one whose store, or connection, has fallen silent. So a cheap sign of
//! life is asked for; without one the watches are given up, and go on from where they stood once it is back. It also
//! tells a moment that the store has reached: watches that stay behind that moment are asked again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::era::era_of;

use crate::clock;
use crate::context::Context;
use crate::peers::frame::Frame;
use crate::peers::sync_status::sync_status;
use crate::store::{Collection, Revision, Store};
use crate::store_access::StoreAccess;
use crate::store_watcher;

/// The time between two signs of life. With [`PATIENCE`] and [`WHILE_AWAY`], a change is known within
/// 2 s of the store's return, which is what a leaving server allows.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// The same for a VM that others follow: they must not wait longer for its loss than for their own.
const PROBE_INTERVAL_WITH_FOLLOWERS: Duration = Duration::from_millis(400);

/// The time between two tries while the store is away. Each is a call of full price.
const OUTAGE_PROBE_INTERVAL: Duration = Duration::from_millis(350);

/// The same for a VM that knows nothing and that others will tell as soon as the store answers one of them; chance adds
/// as much again. After an outage of all VMs and the store, hundreds of them ask.
const OUTAGE_PROBE_INTERVAL_WHEN_FED: Duration = Duration::from_millis(1000);

/// How long a sign of life is waited for: twice the slowest answer of a store that is slow, not away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the watches may stay behind the store before they are asked again. Changes are gathered
/// for most of this time.
const MAX_WATCH_LAG: Duration = Duration::from_millis(900);

/// Watches over the store while this VM reads it, until the process ends.
pub async fn monitor<S: Store>(context: Rc<Context>, store: Rc<S>, store_access: Rc<StoreAccess>) {
    let mut lag = WatchLag::default();
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
        // The answer may stand behind another, long one.
        let is_available =
            reached.is_some() || (answer.is_err() && received_bytes_since(&*store, asked_at));
        if store_access.set_available(is_available) {
            match is_available {
                true => store_watcher::note_store_return(&context),
                false => tracing::warn!(event = "store_away"),
            }
            // Those that follow learn it at once, as one of them may still reach the store.
            let standing = sync_status(&context, &store_access);
            context.followers.send(&Frame::Status(standing));
        }
        store_access.probe_completed();
        if reached.is_some_and(|reached| lag.is_too_long(clock::now(), reached, &context)) {
            tracing::info!(event = "watches_behind", reached);
            store_access.request_rewatch();
        }
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

/// Returns whether bytes of any answer have come since a moment.
fn received_bytes_since<S: Store>(store: &S, since: Instant) -> bool {
    let heard = Collection::WATCHED
        .into_iter()
        .filter_map(|c| store.last_received_at(c));
    heard.max().is_some_and(|heard| heard > since)
}

/// Returns whether this VM will be told by others: it serves nobody yet, and is none of those that others ask.
fn will_be_fed(context: &Context) -> bool {
    let settings = &context.settings;
    let is_seed = settings
        .control
        .is_some_and(|own| settings.seeds.contains(&own));
    let readers = context.readers.borrow();
    let record = readers.record(&settings.zone);
    let is_named = record.is_some_and(|record| record.vms.iter().any(|vm| vm.name == settings.vm));
    !context.is_ready() && !is_seed && !is_named && !settings.seeds.is_empty()
}

/// How long the watches have been behind the store.
#[derive(Debug, Default)]
struct WatchLag {
    since: Option<(Revision, Instant)>,
    settled: Revision,
}

impl WatchLag {
    /// Takes in a moment that the store has reached; returns whether the watches have been behind it
    /// for too long. A moment is complained of once: other collections move the store on as well.
    fn is_too_long(&mut self, now: Instant, reached: Revision, context: &Context) -> bool {
        let known = Collection::WATCHED
            .into_iter()
            .filter_map(|c| context.position(c))
            .max();
        if known.is_none_or(|known| known >= reached) || reached <= self.settled {
            self.since = None;
            return false;
        }
        let (behind, since) = *self.since.get_or_insert((reached, now));
        if now.saturating_duration_since(since) < MAX_WATCH_LAG {
            return false;
        }
        self.settled = behind;
        self.since = None;
        true
    }
}
