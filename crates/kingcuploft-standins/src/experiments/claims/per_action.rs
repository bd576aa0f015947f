//! The baseline for claims: an object for each action, written once to claim it and once to record its answer.

use std::thread::JoinHandle;
use std::time::Instant;

use crossbeam_channel::{Receiver, Sender, unbounded};
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::{ObjectStore, WriteCondition};

use super::{ACTION_TIME, ClaimResults};
use crate::platform::Platform;

/// The number of concurrent store calls of one VM.
const CONCURRENT_CALLS: usize = 16;

/// The length of a claim's value.
const CLAIM_BYTES: usize = 160;

/// The length of a record's value.
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
        let (actions, queue) = unbounded();
        let thread = || {
            let (store, queue) = (store.clone(), queue.clone());
            std::thread::spawn(move || run_actions(&store, &queue))
        };
        Self {
            actions,
            threads: (0..CONCURRENT_CALLS).map(|_| thread()).collect(),
        }
    }

    pub(super) fn claim(&self, action: u64) {
        // The receiving threads end only after this sender is dropped.
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

fn run_actions(store: &Client, queue: &Receiver<(u64, Instant)>) -> ClaimResults {
    let mut claimed = ClaimResults::default();
    let (claim, record) = ("x".repeat(CLAIM_BYTES), "x".repeat(RECORD_BYTES));
    for (action, began) in queue {
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
