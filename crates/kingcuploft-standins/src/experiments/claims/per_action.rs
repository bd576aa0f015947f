//! The baseline: an object for each action, written once to claim and once to record.

use std::thread::JoinHandle;
use std::time::Instant;

use crossbeam_channel::{Receiver, Sender, unbounded};
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::{ObjectStore, WriteCondition};

use super::{ACTION_TIME, ClaimResults};
use crate::platform::Platform;

/// How many calls one VM makes side by side.
const CALLS: usize = 16;

/// The value of a claim and that of a record, in bytes.
const CLAIM_BYTES: usize = 160;
const RECORD_BYTES: usize = 460;

/// A VM that writes an object for each action.
#[derive(Debug)]
pub(super) struct PerActionVm {
    actions: Sender<(u64, Instant)>,
    threads: Vec<JoinHandle<ClaimResults>>,
}

impl PerActionVm {
    pub(super) fn start(platform: &Platform, index: usize) -> Self {
        let settings = ClientSettings {
            calls_per_s: 1e9,
            calls_burst: 1e9,
            ..ClientSettings::default()
        };
        let address = platform.address().to_string();
        let store = Client::with_settings(&address, settings, index as u64);
        let (actions, ring) = unbounded();
        let thread = || {
            let (store, ring) = (store.clone(), ring.clone());
            std::thread::spawn(move || work(&store, &ring))
        };
        Self {
            actions,
            threads: (0..CALLS).map(|_| thread()).collect(),
        }
    }

    pub(super) fn claim(&self, action: u64) {
        // The threads end only after this sender is gone.
        let sent = self.actions.send((action, Instant::now()));
        debug_assert!(sent.is_ok());
    }

    pub(super) fn finish(self) -> ClaimResults {
        drop(self.actions);
        let mut all = ClaimResults::default();
        for thread in self.threads {
            let claimed = thread.join().unwrap_or_default();
            all.decided.extend(claimed.decided);
        }
        all
    }
}

fn work(store: &Client, ring: &Receiver<(u64, Instant)>) -> ClaimResults {
    let mut claimed = ClaimResults::default();
    let (claim, record) = ("x".repeat(CLAIM_BYTES), "x".repeat(RECORD_BYTES));
    for (action, began) in ring {
        let key = format!("claims/{action}");
        let put = store.put(&key, &claim, WriteCondition::Absent);
        claimed.add(began, put.is_ok());
        if let Ok(version) = put {
            std::thread::sleep(ACTION_TIME);
            drop(store.put(&key, &record, WriteCondition::Version(version)));
        }
    }
    claimed
}
