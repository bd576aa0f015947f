//! Exhaustive sequences, up to a length, of writes, snapshots, rewinds and outages of the store. After each, a VM and
//! its follower agree with the store, and no configuration goes back meanwhile.
//!
//! The time between two actions is shorter than a watch takes to bring a change, so that a VM may or may not have seen
//! an action before the next.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use crate::fleet::{Fleet, Links, server, simulate};
use kingcuploft_simulation::store_snapshot::Snapshot;

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// The lengths of the sequences: of all kinds of actions, and of writes, snapshots and rewinds alone, which have to be
/// longer to assign a revision twice.
const SEQUENCE_LENGTH: u32 = 4;
const WRITE_SEQUENCE_LENGTH: u32 = 6;

/// The time between two actions, shorter than a change that is batched takes.
const ACTION_INTERVAL: Duration = Duration::from_millis(350);

/// Longer than a VM keeps state that the store has lost and nobody writes again.
const EXPIRY_TIME: Duration = Duration::from_secs(14);

/// Longer than a watch waits that gets no answer any more.
const WATCH_RECOVERY_TIME: Duration = Duration::from_secs(26);

/// An action on the store.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A server writes its entry.
    Join,
    /// The server's entry is removed.
    Leave,
    /// A configuration is written.
    Configure,
    /// A zone is evacuated, or its evacuation is ended.
    Evacuate,
    /// A snapshot is taken.
    Snapshot,
    /// The store is restored from the last snapshot.
    Rewind,
    /// Calls hang from now on, or are answered again.
    Silence,
}

const ALL: [Action; 7] = [
    Action::Join,
    Action::Leave,
    Action::Configure,
    Action::Evacuate,
    Action::Snapshot,
    Action::Rewind,
    Action::Silence,
];

const WRITES: [Action; 5] = [
    Action::Join,
    Action::Leave,
    Action::Evacuate,
    Action::Snapshot,
    Action::Rewind,
];

/// A fleet, and what the operator and the server have written last: they restore it if the store loses it.
struct Scenario {
    fleet: Fleet,
    snapshot: Option<Snapshot>,
    has_server: bool,
    is_evacuated: bool,
}

impl Scenario {
    fn apply(&mut self, action: Action) {
        let store = self.fleet.store.0.clone();
        match action {
            Action::Join => {
                self.has_server = true;
                store.write_backend_server(server("s"));
            }
            Action::Leave => {
                self.has_server = false;
                store.remove_backend_server("s");
            }
            Action::Configure => self.fleet.change_one_route(),
            Action::Evacuate => {
                self.is_evacuated = !self.is_evacuated;
                store.set_evacuated("zone-0", self.is_evacuated);
            }
            Action::Snapshot => self.snapshot = Some(store.snapshot()),
            Action::Rewind => {
                if let Some(snapshot) = self.snapshot.take() {
                    store.rewind(snapshot);
                }
            }
            Action::Silence => store.silent.set(!store.silent.get()),
        }
    }

    /// Writes again what the store has lost, and only that, as the operator and the server do.
    fn restore_lost_writes(&self) {
        let store = &self.fleet.store.0;
        store.silent.set(false);
        let [has_server, has_evacuation, has_configuration] =
            store.holds("s", "zone-0", self.fleet.version());
        match (has_server, self.has_server) {
            (false, true) => store.write_backend_server(server("s")),
            (true, false) => store.remove_backend_server("s"),
            _ => {}
        }
        if has_evacuation != self.is_evacuated {
            store.set_evacuated("zone-0", self.is_evacuated);
        }
        if !has_configuration {
            self.fleet.rewrite_configuration();
        }
    }

    fn check(&self, actions: &[Action]) {
        assert!(
            self.fleet.outdated_vms().is_empty(),
            "configuration after {actions:?}"
        );
        for at in 0..self.fleet.len() {
            let host = self.fleet.network.host(at).unwrap();
            let has_upstream = host.context.all_upstreams().len() == 1;
            assert_eq!(
                has_upstream, self.has_server,
                "server at VM {at} after {actions:?}"
            );
            let holds = host.context.evacuations.borrow().is_evacuated("zone-0");
            assert_eq!(
                holds, self.is_evacuated,
                "evacuation at VM {at} after {actions:?}"
            );
        }
    }
}

/// Runs actions with a VM that reads the store and one that follows it, and checks the outcome.
fn run_actions(actions: &[Action], ignores_eras: bool) {
    simulate(async {
        let fleet = Fleet::start(&[2], LINKS, 3, 1).await;
        fleet.store.0.ignores_eras.set(ignores_eras);
        let mut scenario = Scenario {
            fleet,
            snapshot: None,
            has_server: false,
            is_evacuated: false,
        };
        for action in actions {
            scenario.apply(*action);
            tokio::time::sleep(ACTION_INTERVAL).await;
            let _ = scenario.fleet.outdated_vms();
        }
        scenario.restore_lost_writes();
        if actions
            .iter()
            .any(|action| matches!(action, Action::Silence))
        {
            tokio::time::sleep(WATCH_RECOVERY_TIME).await;
        }
        tokio::time::sleep(EXPIRY_TIME).await;
        scenario.check(actions);
    });
}

/// Returns all sequences of so many of these actions.
fn sequences(choices: &[Action], count: u32) -> impl Iterator<Item = Vec<Action>> {
    (0..choices.len().pow(count)).map(move |number| sequence(choices, number, count))
}

/// Returns the sequence with a number: each of its digits selects an action.
fn sequence(choices: &[Action], mut number: usize, count: u32) -> Vec<Action> {
    let mut actions = Vec::new();
    for _ in 0..count {
        actions.push(choices[number % choices.len()]);
        number /= choices.len();
    }
    actions
}

/// Returns whether the store is restored from a snapshot; other sequences lead to nothing that shorter ones do not.
fn has_rewind_after_snapshot(actions: &[Action]) -> bool {
    let snapshot_at = actions
        .iter()
        .position(|action| matches!(action, Action::Snapshot));
    let rewind_at = actions
        .iter()
        .position(|action| matches!(action, Action::Rewind));
    matches!((snapshot_at, rewind_at), (Some(snapshot_at), Some(rewind_at)) if snapshot_at < rewind_at)
}

#[test]
fn all_sequences_of_writes_snapshots_and_outages_end_in_what_the_store_holds() {
    for (choices, count) in [
        (&ALL[..], SEQUENCE_LENGTH),
        (&WRITES[..], WRITE_SEQUENCE_LENGTH),
    ] {
        let checked =
            sequences(choices, count).filter(|actions| has_rewind_after_snapshot(actions));
        let checked = checked.inspect(|actions| run_actions(actions, false));
        assert!(checked.count() > 200, "few sequences were played");
    }
}

/// Checks a random sample of longer sequences.
#[test]
fn random_longer_sequences_end_in_what_the_store_holds() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..150 {
        let number = rng.usize(0..ALL.len().pow(9));
        run_actions(&sequence(&ALL, number, 9), false);
    }
}

/// Checks that the sequences detect a VM that ignores eras, and so confuses revisions from before a rewind with those
/// after it.
#[test]
fn a_vm_that_ignores_eras_is_detected() {
    let mut found = sequences(&WRITES, WRITE_SEQUENCE_LENGTH)
        .filter(|actions| has_rewind_after_snapshot(actions));
    let is_broken = |actions: &Vec<Action>| {
        let checked = std::panic::catch_unwind(AssertUnwindSafe(|| run_actions(actions, true)));
        checked.is_err()
    };
    assert!(found.any(|actions| is_broken(&actions)));
}
