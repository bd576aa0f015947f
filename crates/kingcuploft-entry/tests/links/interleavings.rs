//! All orders, within bounds, in which the store is written, copied, comes back and is silent: what a VM and its follower
//! believe in the end is what the store holds, and no configuration goes back meanwhile.
//!
//! Each action is given time to be seen or not: the steps between them are shorter than a watch takes to bring a change.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use crate::fleet::{Fleet, Links, play, server};
use crate::store::Snapshot;

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// How many actions are played one after the other: of all kinds, and of those that revisions given out twice need.
const DEPTH: u32 = 4;
const DEPTH_OF_WRITES: u32 = 6;

/// The time between two actions: a change that is gathered takes longer.
const STEP: Duration = Duration::from_millis(350);

/// Longer than anything is believed that nobody writes again.
const SETTLED: Duration = Duration::from_secs(14);

/// Longer than a watch waits that hears nothing any more.
const HEARD_AGAIN: Duration = Duration::from_secs(26);

/// What happens to the store.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// A server writes its entry.
    Join,
    /// The server's entry is removed.
    Leave,
    /// A configuration is written.
    Configure,
    /// A zone is evacuated, or taken back if it is.
    Evacuate,
    /// A copy is made.
    Copy,
    /// The store comes back from the last copy.
    Rewind,
    /// Calls hang from now on, or are answered again.
    Silence,
}

const ALL: [Act; 7] = [
    Act::Join,
    Act::Leave,
    Act::Configure,
    Act::Evacuate,
    Act::Copy,
    Act::Rewind,
    Act::Silence,
];

const WRITES: [Act; 5] = [Act::Join, Act::Leave, Act::Evacuate, Act::Copy, Act::Rewind];

/// What the operator and the server have written last: they write it again.
struct Written {
    fleet: Fleet,
    copy: Option<Snapshot>,
    is_there: bool,
    is_evacuated: bool,
}

impl Written {
    fn act(&mut self, act: Act) {
        let store = self.fleet.store.0.clone();
        match act {
            Act::Join => {
                self.is_there = true;
                store.write_backend_server(server("s"));
            }
            Act::Leave => {
                self.is_there = false;
                store.remove_backend_server("s");
            }
            Act::Configure => self.fleet.change_one(),
            Act::Evacuate => {
                self.is_evacuated = !self.is_evacuated;
                store.set_evacuated("zone-0", self.is_evacuated);
            }
            Act::Copy => self.copy = Some(store.snapshot()),
            Act::Rewind => {
                if let Some(copy) = self.copy.take() {
                    store.rewind(copy);
                }
            }
            Act::Silence => store.silent.set(!store.silent.get()),
        }
    }

    /// What a copy lost is written again by those who wrote it, and only that.
    fn write_again(&self) {
        let store = &self.fleet.store.0;
        store.silent.set(false);
        let [has_server, has_evacuation, has_configuration] =
            store.holds("s", "zone-0", self.fleet.version());
        match (has_server, self.is_there) {
            (false, true) => store.write_backend_server(server("s")),
            (true, false) => store.remove_backend_server("s"),
            _ => {}
        }
        if has_evacuation != self.is_evacuated {
            store.set_evacuated("zone-0", self.is_evacuated);
        }
        if !has_configuration {
            self.fleet.configure_again();
        }
    }

    fn check(&self, acts: &[Act]) {
        assert!(
            self.fleet.behind().is_empty(),
            "configuration after {acts:?}"
        );
        for at in 0..self.fleet.len() {
            let host = self.fleet.network.host(at).unwrap();
            let is_used = host.context.all_upstreams().len() == 1;
            assert_eq!(is_used, self.is_there, "server at VM {at} after {acts:?}");
            let holds = host.context.evacuations.borrow().is_evacuated("zone-0");
            assert_eq!(
                holds, self.is_evacuated,
                "evacuation at VM {at} after {acts:?}"
            );
        }
    }
}

/// Plays actions at a VM that reads the store and one that follows it.
fn follow(acts: &[Act], hides_eras: bool) {
    play(async {
        let fleet = Fleet::start(&[2], LINKS, 3, 1).await;
        fleet.store.0.ignores_eras.set(hides_eras);
        let mut written = Written {
            fleet,
            copy: None,
            is_there: false,
            is_evacuated: false,
        };
        for act in acts {
            written.act(*act);
            tokio::time::sleep(STEP).await;
            let _ = written.fleet.behind();
        }
        written.write_again();
        if acts.iter().any(|act| matches!(act, Act::Silence)) {
            tokio::time::sleep(HEARD_AGAIN).await;
        }
        tokio::time::sleep(SETTLED).await;
        written.check(acts);
    });
}

/// Returns all orders of so many of these actions.
fn orders(of: &[Act], count: u32) -> impl Iterator<Item = Vec<Act>> {
    (0..of.len().pow(count)).map(move |number| order(of, number, count))
}

/// Returns the order of a number, an action for each digit.
fn order(of: &[Act], mut number: usize, count: u32) -> Vec<Act> {
    let mut acts = Vec::new();
    for _ in 0..count {
        acts.push(of[number % of.len()]);
        number /= of.len();
    }
    acts
}

/// Whether what these actions lead to can differ from what fewer do: a store comes back only from a copy.
fn is_worth_playing(acts: &[Act]) -> bool {
    let copied = acts.iter().position(|act| matches!(act, Act::Copy));
    let rewound = acts.iter().position(|act| matches!(act, Act::Rewind));
    matches!((copied, rewound), (Some(copied), Some(rewound)) if copied < rewound)
}

#[test]
fn all_orders_of_writes_copies_and_silence_end_in_what_the_store_holds() {
    for (of, count) in [(&ALL[..], DEPTH), (&WRITES[..], DEPTH_OF_WRITES)] {
        let played = orders(of, count).filter(|acts| is_worth_playing(acts));
        let played = played.inspect(|acts| follow(acts, false));
        assert!(played.count() > 200, "few orders were played");
    }
}

/// Longer orders, drawn.
#[test]
fn drawn_longer_orders_end_in_what_the_store_holds() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..150 {
        let number = rng.usize(0..ALL.len().pow(9));
        follow(&order(&ALL, number, 9), false);
    }
}

/// The orders find a VM that takes revisions of before for those of the copy.
#[test]
fn a_vm_that_knows_no_eras_is_found() {
    let mut found = orders(&WRITES, DEPTH_OF_WRITES).filter(|acts| is_worth_playing(acts));
    let is_broken = |acts: &Vec<Act>| {
        let played = std::panic::catch_unwind(AssertUnwindSafe(|| follow(acts, true)));
        played.is_err()
    };
    assert!(found.any(|acts| is_broken(&acts)));
}
