//! Availability zones that are evacuated: taken in, passed on, kept from getting work.

use std::time::{Duration, Instant};

use kingcuploft::entry::evacuations::{Change, Evacuations};
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::{AvailabilityZone, ServiceName};

use crate::clock;
use crate::cold;
use crate::context::Context;
use crate::peers::frame::Frame;

/// When a caller may come back to a service all of whose servers are in evacuated zones: nobody knows when one is taken back.
const COME_BACK: Duration = Duration::from_secs(2);

/// Takes in that a zone is to get nothing, and passes it on.
pub fn told(context: &Context, zone: AvailabilityZone) {
    take(context, |evacuations| {
        evacuations.add(zone).into_iter().collect()
    });
}

/// Takes in that a zone is taken back, and passes it on.
pub fn gone(context: &Context, zone: &str) {
    take(context, |evacuations| {
        evacuations.remove(zone).into_iter().collect()
    });
}

/// Takes in all entries that the store has, and passes on what is news.
pub fn all_told(context: &Context, zones: impl Iterator<Item = AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.collect();
    take(context, |evacuations| {
        evacuations.sync_with_store(clock::now(), &zones)
    });
}

/// Takes in which zones are evacuated by the VM that this one follows, and passes on what is news.
pub fn followed(context: &Context, zones: Vec<AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.into_iter().collect();
    take(context, |evacuations| evacuations.sync_with_feeder(&zones));
}

/// Ends evacuations whose entries a store that came back from a copy does not have again in time.
pub fn expire(context: &Context, now: Instant) {
    take(context, |evacuations| evacuations.expire(now));
}

fn take(context: &Context, news: impl FnOnce(&mut Evacuations) -> Vec<Change>) {
    let changes = news(&mut context.evacuations.borrow_mut());
    if changes.is_empty() {
        return;
    }
    context.followers.tell_evacuations(&frame(context));
    for change in changes {
        match change {
            Change::Begun(zone) => tracing::info!(event = "zone_evacuated", %zone),
            Change::Ended(zone) => {
                tracing::info!(event = "zone_taken_back", %zone);
                cold::zone_taken_back(context, &zone);
            }
        }
    }
}

/// Returns what followers are told.
pub fn frame(context: &Context) -> Frame {
    Frame::Evacuations(context.evacuations.borrow().zones())
}

/// Returns when a caller may come back to a service that has servers, all of them in evacuated zones.
pub fn refuses(context: &Context, service: &ServiceName) -> Option<Duration> {
    let is_empty = context.evacuations.borrow().zones().is_empty();
    (!is_empty && context.is_evacuated(service)).then_some(COME_BACK)
}
