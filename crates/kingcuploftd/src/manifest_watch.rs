//! The manifest thread: reads the manifest's root from the store and fetches the service objects that are missing.
//!
//! Load pattern: a fleet of VMs that all read the store. Only the VMs that the membership selects watch the store; the
//! others poll it rarely and receive changes through gossip.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::decisions::adoption::MissingParts;
use kingcuploft::manifest::root::ContentHash;
use kingcuploft::utils::HashMap;
use kingcuploft_platform::manifest_root::{ROOT_KEY, SERVICES_PREFIX, service_key};
use kingcuploft_platform::{ObjectStore, StoreError, Version};

use crate::shared::Shared;

/// How long one watch waits. A waiting watch is one store call, so a watching VM makes one call every 2 s.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The number of watches after which the root is listed again: a watch that answers but misses a change is noticed
/// within 8 s even if no peer announces the change.
const WATCHES_PER_LIST: u32 = 4;

/// The delay after the store did not answer or an object was missing.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The longest delay of the exponential backoff while reads keep failing.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How often a VM that does not watch the store reads the root, before jitter.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a VM without a manifest waits for the store before it accepts the newest generation that its peers know;
/// peers answer within this time too.
const FIRST_MANIFEST_WAIT: Duration = Duration::from_secs(1);

/// The number of missing service objects above which one listing of all costs less than reading each. A new VM with 740
/// services that read them one by one under its budget of 100 calls/s took 11.8 s.
const LIST_THRESHOLD: usize = 16;

/// How often a wait checks whether it should end early.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the manifest thread until the daemon ends.
pub fn run(shared: &Arc<Shared>, store: &dyn ObjectStore) {
    let started = Instant::now();
    let mut watch = ManifestWatch {
        shared,
        store,
        after: 0,
        watches: 0,
        pause: RETRY_DELAY,
    };
    while !shared.ended() {
        if started.elapsed() > FIRST_MANIFEST_WAIT {
            watch.end_source_wait("the peers");
        }
        match watch.step() {
            Ok(()) => watch.pause = RETRY_DELAY,
            Err(why) => {
                tracing::warn!("manifest: {why}.");
                watch.wait_at_most(watch.pause);
                watch.pause = (watch.pause * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Why a service object was not fetched.
enum FetchError {
    /// It is missing or corrupt.
    Object(String),
    /// The store does not answer.
    Store(StoreError),
}

struct ManifestWatch<'a> {
    shared: &'a Shared,
    store: &'a dyn ObjectStore,
    after: Version,
    watches: u32,
    pause: Duration,
}

impl ManifestWatch<'_> {
    /// Reads the root by watch, listing or poll, then fetches the missing service objects.
    fn step(&mut self) -> Result<(), String> {
        let incomplete = self.missing_parts() != MissingParts::Nothing;
        let none = self.shared.accepted.load().generation == 0;
        let root = match self.shared.watches_store() || incomplete || none {
            true => self.watch(incomplete),
            false => self.poll(),
        };
        match root {
            Ok(values) => {
                values.iter().for_each(|text| self.learn_root(text));
                self.end_source_wait("the store");
            }
            Err(StoreError::WatchExpired) => self.after = 0,
            Err(error) => {
                // A stalled watch shows as a missing answer: the next read is a listing, which does not depend on the
                // watch.
                self.after = 0;
                return Err(format!("the store does not answer: {error}"));
            }
        }
        self.fetch()
    }

    fn watch(&mut self, incomplete: bool) -> Result<Vec<String>, StoreError> {
        self.watches += 1;
        let lists = self.after == 0 || self.watches.is_multiple_of(WATCHES_PER_LIST);
        if incomplete && self.watches > 1 {
            // A listing returns at once: without this delay, a missing part would cause a busy loop.
            self.wait_at_most(RETRY_DELAY);
        }
        let seen = match lists || incomplete {
            true => self.store.list(ROOT_KEY)?,
            false => self.store.watch(ROOT_KEY, self.after, WATCH_WAIT)?,
        };
        self.after = seen.version;
        Ok(seen.changes.into_iter().filter_map(|c| c.value).collect())
    }

    /// Reads the root after the poll interval, or earlier if a peer announces a newer one.
    fn poll(&mut self) -> Result<Vec<String>, StoreError> {
        self.after = 0;
        self.wait_at_most(POLL_INTERVAL.mul_f64(0.5 + fastrand::f64()));
        let found = self.store.get(ROOT_KEY)?;
        Ok(found.into_iter().map(|object| object.value).collect())
    }

    /// Waits until the time has passed, the daemon ends or the set of missing parts changes.
    fn wait_at_most(&self, time: Duration) {
        let before = self.missing_parts();
        let mut left = time;
        while left > Duration::ZERO && !self.shared.ended() && self.missing_parts() == before {
            std::thread::sleep(left.min(WAIT_CHECK_INTERVAL));
            left = left.saturating_sub(WAIT_CHECK_INTERVAL);
        }
    }

    /// Ends the wait for further sources of the first manifest.
    fn end_source_wait(&self, source: &str) {
        let manifest = &self.shared.manifest;
        if manifest.read(|adoption| adoption.awaits_sources()) {
            manifest.update(self.shared, source, |adoption| Ok(adoption.sources_asked()));
        }
    }

    fn learn_root(&self, text: &str) {
        let manifest = &self.shared.manifest;
        manifest.update(self.shared, "the store", |adoption| {
            adoption.root_text(text)
        });
    }

    /// Fetches the missing service objects from the store.
    fn fetch(&self) -> Result<(), String> {
        let MissingParts::Services(mut missing) = self.missing_parts() else {
            return Ok(());
        };
        if missing.len() > LIST_THRESHOLD {
            self.fetch_from_list(&missing)
                .map_err(|error| format!("the store does not answer: {error}"))?;
            let MissingParts::Services(left) = self.missing_parts() else {
                return Ok(());
            };
            missing = left;
        }
        let mut last = Ok(());
        for hash in &missing {
            match self.fetch_service(hash) {
                Ok(()) => {}
                // One missing or corrupt object says nothing about the others.
                Err(FetchError::Object(why)) => last = Err(why),
                Err(FetchError::Store(error)) => {
                    return Err(format!("the store does not answer: {error}"));
                }
            }
        }
        last
    }

    /// Reads the missing service objects from one listing of all; a corrupt one stays missing.
    fn fetch_from_list(&self, missing: &[ContentHash]) -> Result<(), StoreError> {
        let listed = self.store.list(SERVICES_PREFIX)?;
        let values = listed.changes.into_iter();
        let values: HashMap<String, String> = values
            .filter_map(|change| Some((change.key, change.value?)))
            .collect();
        for hash in missing {
            if let Some(text) = values.get(&service_key(hash)) {
                let manifest = &self.shared.manifest;
                manifest.update(self.shared, "the store", |adoption| {
                    adoption.service_text(hash, text)
                });
            }
        }
        Ok(())
    }

    fn fetch_service(&self, hash: &ContentHash) -> Result<(), FetchError> {
        let manifest = &self.shared.manifest;
        match self.store.get(&service_key(hash)) {
            Ok(Some(object)) => {
                let accepted = manifest.update(self.shared, "the store", |adoption| {
                    adoption.service_text(hash, &object.value)
                });
                let corrupt = || format!("service object {hash} is corrupt in the store");
                accepted
                    .then_some(())
                    .ok_or_else(|| FetchError::Object(corrupt()))
            }
            Ok(None) => {
                manifest.update(self.shared, "the store", |adoption| {
                    adoption.service_missing(hash)
                });
                let why = format!("service object {hash} is missing in the store");
                Err(FetchError::Object(why))
            }
            Err(error) => Err(FetchError::Store(error)),
        }
    }

    fn missing_parts(&self) -> MissingParts {
        self.shared
            .manifest
            .read(|adoption| adoption.missing_parts())
    }
}
