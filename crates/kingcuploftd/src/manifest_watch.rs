//! The manifest duty: learns the manifest from the store and hands newer ones on.

use std::sync::Arc;
use std::time::Duration;

use kingcuploft::manifest::Accepted;
use kingcuploft_platform::manifest_root::{ROOT_KEY, Root};
use kingcuploft_platform::{ObjectStore, StoreError};

use crate::shared::Shared;

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The pause after the store did not answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Runs the duty until the daemon ends.
pub fn run(shared: &Arc<Shared>, store: &dyn ObjectStore) {
    let mut after = 0;
    while !shared.ended() {
        let seen = match after {
            0 => store.list(ROOT_KEY),
            _ => store.watch(ROOT_KEY, after, WATCH_WAIT),
        };
        match seen {
            Ok(seen) => {
                after = seen.version;
                let values = seen.changes.into_iter().filter_map(|change| change.value);
                values.for_each(|value| adopt(shared, &value));
            }
            Err(StoreError::Lapsed) => after = 0,
            Err(error) => {
                tracing::warn!("manifest: the store does not answer: {error}.");
                std::thread::sleep(PAUSE);
            }
        }
    }
}

/// Puts a root object in force if its generation is newer.
fn adopt(shared: &Shared, value: &str) {
    let root: Root = match serde_json::from_str(value) {
        Ok(root) => root,
        Err(error) => return tracing::warn!("manifest: the root object is corrupt: {error}."),
    };
    let accepted = Accepted::from(root);
    if accepted.generation <= shared.accepted.load().generation {
        return;
    }
    tracing::info!("manifest: generation {} is in force.", accepted.generation);
    shared.put_in_force(accepted);
}
