//! The status page: what an operator wants to know of one VM at a glance, in JSON.

use std::collections::BTreeMap;

use kingcuploft::decisions::membership::MemberState;
use kingcuploft::world::refusal::RefusalReason;

use crate::shared::Shared;

/// Returns the status page.
pub fn text(shared: &Shared) -> String {
    let members = shared.fleet.members();
    let live = members.iter().filter(|m| m.state == MemberState::Live);
    let metrics = &shared.metrics;
    let status = serde_json::json!({
        "vm": &*shared.vm.name,
        "availability_zone": &*shared.vm.availability_zone,
        "incarnation": shared.vm.incarnation,
        "generation": shared.accepted.load().generation,
        "ready": shared.ready(),
        "stopping": shared.stopping(),
        "manifest": shared.manifest.read(|adoption| adoption.status()),
        "live_members": live.count(),
        "members": members,
        "watches_store": shared.watches_store(),
        "peer_links": metrics.fleet.peer_links.get(),
        "peer_bytes": metrics.fleet.all_peer_bytes(),
        "drains": shared.fleet.drains(),
        "refusals": refusals(shared),
        "services": services(shared),
    });
    status.to_string()
}

/// Returns the queue, the calls in flight and the limit of each service in force.
fn services(shared: &Shared) -> BTreeMap<String, serde_json::Value> {
    let accepted = shared.accepted.load();
    let services = accepted.manifest.services.iter();
    let loads = services.map(|service| {
        let [queue, in_flight, limit] = shared.metrics.service.load(&service.name);
        let load = serde_json::json!({ "queue": queue, "in_flight": in_flight, "limit": limit });
        (service.name.to_string(), load)
    });
    loads.collect()
}

/// Returns how often each reason was counted, for those that were.
fn refusals(shared: &Shared) -> BTreeMap<&'static str, u64> {
    let counted = RefusalReason::ALL.iter();
    let counted = counted.map(|reason| (reason.label(), shared.metrics.refusals(*reason)));
    counted.filter(|(_, count)| *count > 0).collect()
}
