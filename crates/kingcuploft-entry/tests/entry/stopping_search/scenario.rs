//! One scenario of the search, drawn from its seed.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;

use super::callers::{self, Habit};
use super::check::{self, Violation};
use super::events::{self, Cut, Events};
use super::history::History;
use super::process::Process;
use super::servers::Server;
use crate::store::TestStore;
use crate::testbed;

/// How long after the stop a scenario lasts.
const LASTS_AFTER_STOP: Duration = Duration::from_secs(8);

/// Which VMs there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Layout {
    /// One.
    Alone,
    /// Some of one zone; one is cut off from the servers and passes its requests to the others.
    CutOff,
}

/// A violation, with the history of its request's connection.
#[derive(Clone, Debug)]
pub(super) struct Report {
    pub(super) violation: Violation,
    seed: u64,
    text: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {}", self.seed, self.text)
    }
}

/// Plays the scenario of a seed; returns what was not handled as promised.
pub(super) fn play(seed: u64, layout: Layout) -> Vec<Report> {
    let reports = RefCell::default();
    testbed::run_in_virtual_time(async {
        fastrand::seed(seed);
        let mut rng = Rng::with_seed(seed);
        reports.replace(run(seed, &mut rng, layout).await);
    });
    reports.into_inner()
}

async fn run(seed: u64, rng: &mut Rng, layout: Layout) -> Vec<Report> {
    let history = Rc::new(History::begin(seed));
    let store = TestStore::default();
    store.0.write_configuration(testbed::configuration(1));
    let mut servers = Vec::new();
    for at in 0..rng.usize(1..6) {
        let server = Server::start(&history, at, rng).await;
        store
            .0
            .write_backend_server(testbed::entry_at(at, server.address));
        servers.push(server);
    }
    let mut vm_rng = Rng::with_seed(!seed);
    let vms = start_vms(&mut vm_rng, layout, &store).await;
    let stopping = vm_rng.usize(0..vms.len());
    let stop_at = history.now() + Duration::from_millis(rng.u64(200..3_000));
    history.stop_at.set(stop_at);
    history.stopping_vm.set(stopping);
    let ends_at = stop_at + LASTS_AFTER_STOP;
    let habits: Vec<_> = (0..rng.usize(2..9))
        .map(|_| Habit::draw(rng, ends_at))
        .collect();
    let events = Events::draw(rng, ends_at, servers.len());
    tokio::task::spawn_local(events::happen(history.clone(), events, store, servers));
    if let Some(network) = vms[0].network.clone() {
        let cut = Cut::draw(&mut vm_rng, ends_at);
        tokio::task::spawn_local(events::cut_off(history.clone(), cut, network));
    }
    for habit in habits.iter().cloned() {
        let vm = vm_rng.usize(0..vms.len());
        let calling = callers::run(history.clone(), (vm, vms[vm].clone()), habit, rng.u64(..));
        tokio::task::spawn_local(calling);
    }
    history.wait_until(stop_at).await;
    vms[stopping].terminate();
    history.wait_until(ends_at).await;
    let found = check::check(&history);
    found
        .into_iter()
        .map(|(violation, id)| report(seed, &history, violation, id))
        .collect()
}

async fn start_vms(rng: &mut Rng, layout: Layout, store: &TestStore) -> Vec<Rc<Process>> {
    if layout == Layout::Alone {
        return vec![Process::start_alone(store).await];
    }
    let count = rng.usize(2..4);
    let mut vms = Vec::new();
    for at in 0..count {
        vms.push(Process::start_in_zone(at, store).await);
    }
    testbed::wait_until(|| vms.iter().all(|vm| vm.has_counted(count))).await;
    vms
}

fn report(seed: u64, history: &History, violation: Violation, id: usize) -> Report {
    let connection = history.requests.borrow()[id].connection;
    let text = format!(
        "{violation:?} r{id}, stop at {:?}, events {:?}\n{}",
        history.stop_at.get(),
        history.events.borrow(),
        history.describe(connection)
    );
    Report {
        violation,
        seed,
        text,
    }
}
