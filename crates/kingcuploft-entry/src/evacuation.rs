//! Availability zones that are evacuated: taken in, passed on, kept from getting work.

use std::time::{Duration, Instant};

use kingcuploft::entry::evacuations::{Change, Evacuations};
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::{AvailabilityZone, ServiceName};

use crate::clock;
use crate::cold_servers;
use crate::context::Context;
use crate::peers::frame::Frame;

/// When a caller may come back to a service all of whose servers are in evacuated zones: nobody knows when one is taken back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Takes in that a zone is to get nothing, and passes it on.
pub fn apply_begin(context: &Context, zone: AvailabilityZone) {
    apply(context, |evacuations| {
        evacuations.told(zone).into_iter().collect()
    });
}

/// Takes in that a zone is taken back, and passes it on.
pub fn apply_end(context: &Context, zone: &str) {
    apply(context, |evacuations| {
        evacuations.gone(zone).into_iter().collect()
    });
}

/// Takes in all entries that the store has, and passes on what is news.
pub fn apply_full_list(context: &Context, zones: impl Iterator<Item = AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.collect();
    apply(context, |evacuations| {
        evacuations.all_told(clock::now(), &zones)
    });
}

/// Takes in which zones are evacuated by the VM that this one follows, and passes on what is news.
pub fn apply_feeder_list(context: &Context, zones: Vec<AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.into_iter().collect();
    apply(context, |evacuations| evacuations.followed(&zones));
}

/// Ends evacuations whose entries a store that came back from a copy does not have again in time.
pub fn expire(context: &Context, now: Instant) {
    apply(context, |evacuations| evacuations.expire(now));
}

fn apply(context: &Context, news: impl FnOnce(&mut Evacuations) -> Vec<Change>) {
    let changes = news(&mut context.evacuations.borrow_mut());
    if changes.is_empty() {
        return;
    }
    context.followers.send_evacuations(&to_frame(context));
    for change in changes {
        match change {
            Change::Begun(zone) => tracing::info!(event = "zone_evacuated", %zone),
            Change::Ended(zone) => {
                tracing::info!(event = "zone_taken_back", %zone);
                cold_servers::require_cold_reports(context, &zone);
            }
        }
    }
}

/// Returns what followers are told.
pub fn to_frame(context: &Context) -> Frame {
    Frame::Evacuations(context.evacuations.borrow().zones())
}

/// Returns when a caller may come back to a service that has servers, all of them in evacuated zones.
pub fn retry_after(context: &Context, service: &ServiceName) -> Option<Duration> {
    let is_empty = context.evacuations.borrow().zones().is_empty();
    (!is_empty && context.is_evacuated(service)).then_some(RETRY_AFTER)
}
