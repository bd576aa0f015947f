//! The admin page `/status`: the state of one VM for operators, in JSON.

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

/// Returns the queue length, calls in flight and concurrency limit of each service in the active manifest.
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

/// Returns the number of refusals by reason, without reasons that never occurred.
fn refusals(shared: &Shared) -> BTreeMap<&'static str, u64> {
    let counted = RefusalReason::ALL.iter();
    let counted = counted.map(|reason| (reason.label(), shared.metrics.refusals(*reason)));
    counted.filter(|(_, count)| *count > 0).collect()
}
