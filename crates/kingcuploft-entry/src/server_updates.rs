//! Updates of the backend servers: applied, forwarded to followers, logged.

use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::{BackendServer, Change};
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::world::ids::BackendServerName;

use crate::cold_servers;
use crate::context::Context;
use crate::peers::frame::Frame;

/// The most changes that are logged one by one when they come together.
const MAX_CHANGES_LOGGED_SINGLY: usize = 4;

/// Applies entries of backend servers, and forwards those that are new: a list repeats what is known, and hundreds of
/// frames at once exceed a follower's queue.
pub fn apply_servers(context: &Context, now: Instant, mut servers: Vec<BackendServer>) {
    context.with_servers(|known| servers.retain(|server| !known.is_known(server)));
    match &servers[..] {
        [] => return,
        [server] => context.followers.send(&Frame::Server(server.clone())),
        several => {
            let table = ServerTable::from_servers(several.iter());
            context.followers.send(&Frame::Servers(table));
        }
    }
    let cold = cold_servers(&servers);
    let entries = servers.into_iter();
    let changes: Vec<Change> =
        context.with_servers(|known| entries.filter_map(|s| known.update(s)).collect());
    log_changes(&changes);
    context.apply_server_changes(now, &changes);
    cold_servers::apply_store_report(context, &cold);
}

/// Returns which of these servers are cold, and for how much longer.
fn cold_servers(servers: &[BackendServer]) -> Vec<(BackendServerName, Duration)> {
    let cold = servers.iter().filter(|server| !server.cold_for.is_zero());
    cold.map(|server| (server.name.clone(), server.cold_for))
        .collect()
}

/// Applies the removal of backend servers' entries, and forwards it.
///
/// Load pattern: a thousand servers leave at once. A line for each would fill the queues of the followers, which would
/// be dropped, and be sent the whole table when they come back.
pub fn apply_removals(context: &Context, now: Instant, names: Vec<BackendServerName>) {
    context.followers.send_servers_gone(&names);
    let removed = context.with_servers(|servers| servers.remove_all(now, names));
    log_changes(&removed.changes);
    context.apply_server_changes(now, &removed.changes);
}

/// Applies a server's own statement that it leaves.
pub fn apply_leaving(context: &Context, now: Instant, server: &BackendServer) {
    let is_ignored = planted::is_on(PlantedFault::ChoosesLeavingServers)
        || planted::is_on(PlantedFault::IgnoresLeavingAnswers);
    if is_ignored {
        return;
    }
    let name = &server.name;
    let change = context.with_servers(|known| known.record_leaving(name, server.started_at));
    if let Some(change) = change {
        tracing::info!(event = "server_leaving", server = %name);
        apply_change(context, now, &change);
    }
}

/// Applies a complete list of the backend servers, and forwards what is new. `servers` are the readable entries,
/// `names` the names of all entries.
///
/// Load pattern: after an outage every VM learns of hundreds of servers at once. Each is applied alone, but they are
/// forwarded and logged together: a log line for each takes a small VM longer than all the rest of its start.
pub fn apply_full_list(
    context: &Context,
    now: Instant,
    servers: Vec<BackendServer>,
    names: &[String],
) {
    let is_new = |server: &BackendServer| context.with_servers(|known| !known.is_known(server));
    let new_servers: Vec<BackendServer> = servers.iter().filter(|s| is_new(s)).cloned().collect();
    let cold = cold_servers(&new_servers);
    let entries = servers.into_iter();
    let joined =
        context.with_servers(|known| entries.filter_map(|s| known.update(s)).collect::<Vec<_>>());
    let present = names.iter().map(String::as_str);
    let removed = context.with_servers(|known| known.remove_missing(now, present));
    let changes: Vec<Change> = joined.into_iter().chain(removed.changes).collect();
    log_changes(&changes);
    context.apply_server_changes(now, &changes);
    cold_servers::apply_store_report(context, &cold);
    context.set_servers_listed();
    forward_to_followers(context, &new_servers, &removed.names);
}

/// Forwards to the followers what a complete list has changed. They know the rest: sent again, the table of thousands of
/// servers would hold up all other news for seconds on the links of small VMs.
fn forward_to_followers(
    context: &Context,
    new_servers: &[BackendServer],
    gone: &[BackendServerName],
) {
    if !new_servers.is_empty() {
        let table = ServerTable::from_servers(new_servers.iter());
        context.followers.send(&Frame::Servers(table));
    }
    context.followers.send_servers_gone(gone);
}

/// Applies a change of a server, and logs it.
pub fn apply_change(context: &Context, now: Instant, change: &Change) {
    log_changes(std::slice::from_ref(change));
    context.apply_server_changes(now, std::slice::from_ref(change));
}

/// Logs a line for each of a few changes, or one line with counts for many.
fn log_changes(changes: &[Change]) {
    if changes.len() <= MAX_CHANGES_LOGGED_SINGLY {
        for change in changes {
            let (what, server) = (change.label(), change.server());
            tracing::info!(event = "server", what, %server);
        }
        return;
    }
    let count = |what| {
        changes
            .iter()
            .filter(|change| change.label() == what)
            .count()
    };
    tracing::info!(
        event = "servers",
        joined = count("joined"),
        updated = count("updated"),
        left = count("left"),
        lapsed = count("lapsed")
    );
}
