//! Sends heartbeats, newly activated manifests, drains and load notes to the linked peers.

use std::rc::Rc;
use std::sync::Arc;

use kingcuploft::dispatcher::PeerNotes;
use kingcuploft::utils::HashSet;

use super::node::{Link, Node, in_time};
use super::wire::{Heartbeat, write_drain, write_notes};
use crate::fleet_state::{DrainNotice, PeerUpdate};

/// Sends a heartbeat to several links concurrently and handles the heartbeats that they answer with.
pub(super) async fn send_heartbeats(node: &Rc<Node>, links: &[Rc<Link>]) {
    let pushes = links.iter().map(|link| async {
        let mut request = link.peer.beat_request();
        node.beat().write(request.get().init_beat());
        let Ok(answer) = in_time(request.send().promise).await else {
            return;
        };
        let beat = answer
            .get()
            .and_then(|a| a.get_beat())
            .and_then(Heartbeat::read);
        if let Ok(beat) = beat {
            node.handle_heartbeat(link, &beat);
        }
    });
    futures::future::join_all(pushes).await;
}

/// Announces each newly activated manifest to the links that do not have it yet, and matches the stored drains against
/// it.
pub(super) async fn announce_manifest(node: Rc<Node>) {
    let mut in_force = node.shared.manifest.subscribe();
    while in_force.changed().await.is_ok() {
        let generation = *in_force.borrow_and_update();
        let manifest = Arc::clone(&node.shared.accepted.load().manifest);
        node.shared.fleet.match_drains(&node.shared, &manifest);
        let behind = node
            .links()
            .into_iter()
            .filter(|l| l.known_generation.get() < generation);
        let behind: Vec<_> = behind.collect();
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move { send_heartbeats(&node, &behind).await });
    }
}

/// Sends the updates of other threads to the peers. Drains are always sent, load notes only within the byte budget,
/// because late notes are worth little.
pub(super) async fn send_updates(node: Rc<Node>) {
    let Some(mut inbox) = node.shared.fleet.take_inbox() else {
        return;
    };
    while let Some(first) = inbox.recv().await {
        let mut drains = HashSet::default();
        let mut notes = Vec::new();
        let mut next = Some(first);
        while let Some(update) = next {
            match update {
                PeerUpdate::Draining(notice) => drop(drains.insert(notice)),
                PeerUpdate::Notes(batch) => notes.push(batch),
            }
            next = inbox.try_recv().ok();
        }
        let drains: Vec<DrainNotice> = drains.into_iter().collect();
        for link in node.links() {
            if !drains.is_empty() {
                send_drains(&link, &drains);
            }
            for batch in &notes {
                match node.has_budget() {
                    true => {
                        let metrics = &node.shared.metrics.fleet;
                        metrics.count_notes("sent", batch.notes.len());
                        send_notes(&link, batch);
                    }
                    false => drop(node.shared.metrics.fleet.peer_over_budget.inc()),
                }
            }
        }
    }
}

/// Sends drains on a link without waiting. If the send fails, the link ends, and the next link reads the drains again
/// together with the members.
pub(super) fn send_drains(link: &Link, drains: &[DrainNotice]) {
    let mut request = link.peer.drains_request();
    let mut list = request.get().init_drains(drains.len() as u32);
    for (i, notice) in drains.iter().enumerate() {
        write_drain(notice, list.reborrow().get(i as u32));
    }
    let promise = request.send().promise;
    tokio::task::spawn_local(async move { drop(in_time(promise).await) });
}

fn send_notes(link: &Link, notes: &PeerNotes) {
    let mut request = link.peer.notes_request();
    write_notes(notes, request.get());
    let promise = request.send().promise;
    tokio::task::spawn_local(async move { drop(in_time(promise).await) });
}
