//! What happens around the stop besides it.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft_soak::cuttable::{CuttableNetwork, ServerCut};

use super::draw;
use super::history::History;
use super::servers::Server;
use crate::store::TestStore;
use crate::testbed;

/// Something that happens in a scenario.
#[derive(Clone, Copy, Debug)]
enum Event {
    ServerEnds(usize),
    ServerDrains(usize),
    ServerLeavesStore(usize),
    /// A configuration without the route of most lookups comes into force.
    RouteIsRemoved,
    /// A configuration with the same routes comes into force.
    ConfigurationIsRenewed,
    StoreIsSilent,
    StoreAnswers,
}

/// What happens, with its moment.
#[derive(Debug)]
pub(super) struct Events(Vec<(Duration, Event)>);

impl Events {
    pub(super) fn draw(rng: &mut Rng, until: Duration, server_count: usize) -> Self {
        let count = draw::of(rng, &[(2, 0..1), (3, 1..4)]);
        let mut events = Vec::new();
        for _ in 0..count {
            let at = Duration::from_millis(rng.u64(0..until.as_millis() as u64));
            let server = rng.usize(0..server_count);
            let choices = [
                (3, Event::ServerEnds(server)),
                (2, Event::ServerDrains(server)),
                (2, Event::ServerLeavesStore(server)),
                (1, Event::RouteIsRemoved),
                (2, Event::ConfigurationIsRenewed),
                (2, Event::StoreIsSilent),
                (1, Event::StoreAnswers),
            ];
            events.push((at, draw::choose(rng, &choices)));
        }
        events.sort_by_key(|(at, _)| *at);
        Self(events)
    }
}

/// Has these events happen.
pub(super) async fn happen(
    history: Rc<History>,
    events: Events,
    store: TestStore,
    servers: Vec<Rc<Server>>,
) {
    for ((at, event), version) in events.0.into_iter().zip(2..) {
        history.wait_until(at).await;
        history.note(format!("{event:?}"));
        match event {
            Event::ServerEnds(at) => servers[at].end(),
            Event::ServerDrains(at) => {
                let mut entry = testbed::entry_at(at, servers[at].address);
                entry.draining = true;
                store.0.write_backend_server(entry);
            }
            Event::ServerLeavesStore(at) => store.0.remove_backend_server(&format!("s{at}")),
            Event::RouteIsRemoved => store.0.write_configuration(without_lookups(version)),
            Event::ConfigurationIsRenewed => {
                store.0.write_configuration(testbed::configuration(version));
            }
            Event::StoreIsSilent => store.0.silent.set(true),
            Event::StoreAnswers => store.0.silent.set(false),
        }
    }
}

fn without_lookups(version: u64) -> Configuration {
    let known = testbed::configuration(version);
    let routes = known.routes().filter(|route| &*route.name != "look");
    let routes = routes.cloned().collect();
    Configuration::new(version, routes, known.services.clone(), known.limits)
}

/// How and when a VM is cut off from the servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cut {
    at: Duration,
    cut: ServerCut,
    heals_at: Duration,
}

impl Cut {
    pub(super) fn draw(rng: &mut Rng, until: Duration) -> Self {
        let until_ms = until.as_millis() as u64;
        let at_ms = draw::of(rng, &[(2, 0..1), (1, 0..until_ms)]);
        let lasts_ms = draw::of(rng, &[(1, 0..until_ms), (3, until_ms..until_ms + 1)]);
        Self {
            at: Duration::from_millis(at_ms),
            cut: draw::choose(rng, &ServerCut::ALL.map(|cut| (1, cut))),
            heals_at: Duration::from_millis(at_ms + lasts_ms),
        }
    }
}

/// Cuts a VM off from the servers for a while.
pub(super) async fn cut_off(history: Rc<History>, cut: Cut, network: Rc<CuttableNetwork>) {
    history.wait_until(cut.at).await;
    history.note(format!("vm 0 is cut off: {:?}", cut.cut));
    if matches!(cut.cut, ServerCut::Reset | ServerCut::Silent) {
        history.cut_at.set(Some(cut.at));
    }
    network.cut_all(Some(cut.cut));
    history.wait_until(cut.heals_at).await;
    network.heal();
}
