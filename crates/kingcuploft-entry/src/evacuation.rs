//! Evacuations of availability zones: applies what the store or the feeder says, forwards it to the followers, and
//! refuses requests that only an evacuated zone could serve.

use std::time::{Duration, Instant};

use kingcuploft::entry::evacuations::{Change, Evacuations};
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::{AvailabilityZone, ServiceName};

use crate::clock;
use crate::cold_servers;
use crate::context::Context;
use crate::peers::frame::Frame;

/// The `Retry-After` for a service all of whose servers are in evacuated zones: nobody knows when an evacuation ends.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Applies the start of a zone's evacuation, and forwards it if it is new.
pub fn apply_begin(context: &Context, zone: AvailabilityZone) {
    apply(context, |evacuations| {
        evacuations.add(zone).into_iter().collect()
    });
}

/// Applies a part of the list of evacuations in the store, and forwards what is new: zones that are not in it may be
/// evacuated too.
pub fn apply_part_of_list(context: &Context, zones: impl Iterator<Item = AvailabilityZone>) {
    apply(context, |evacuations| {
        zones.filter_map(|zone| evacuations.add(zone)).collect()
    });
}

/// Applies the end of a zone's evacuation, and forwards it if it is new.
pub fn apply_end(context: &Context, zone: &str) {
    apply(context, |evacuations| {
        evacuations.remove(zone).into_iter().collect()
    });
}

/// Applies the complete list of evacuations in the store, and forwards what is new.
pub fn apply_full_list(context: &Context, zones: impl Iterator<Item = AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.collect();
    apply(context, |evacuations| {
        evacuations.sync_with_store(clock::now(), &zones)
    });
}

/// Applies the list of evacuations from the feeder, and forwards what is new.
pub fn apply_feeder_list(context: &Context, zones: Vec<AvailabilityZone>) {
    let zones: HashSet<AvailabilityZone> = zones.into_iter().collect();
    apply(context, |evacuations| evacuations.sync_with_feeder(&zones));
}

/// Ends evacuations whose entries are not rewritten in time after the store was restored from an older copy.
pub fn expire(context: &Context, now: Instant) {
    apply(context, |evacuations| evacuations.expire(now));
}

fn apply(context: &Context, operation: impl FnOnce(&mut Evacuations) -> Vec<Change>) {
    let changes = operation(&mut context.evacuations.borrow_mut());
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

/// Returns the frame that tells followers all evacuated zones.
pub fn to_frame(context: &Context) -> Frame {
    Frame::Evacuations(context.evacuations.borrow().zones())
}

/// Returns the `Retry-After` for a service that has servers, if all of them are in evacuated zones.
pub fn retry_after(context: &Context, service: &ServiceName) -> Option<Duration> {
    let is_empty = context.evacuations.borrow().zones().is_empty();
    (!is_empty && context.is_evacuated(service)).then_some(RETRY_AFTER)
}
