//! The state of the manifest's adoption, shared by the threads that receive its parts and those that pass them on.

use std::sync::{Mutex, MutexGuard, PoisonError};

use kingcuploft::decisions::adoption::{Adoption, AdoptionError, AdoptionStep};
use kingcuploft::world::ids::Generation;
use tokio::sync::watch;

use crate::shared::Shared;

/// The state of the manifest's adoption.
#[derive(Debug)]
pub struct ManifestState {
    adoption: Mutex<Adoption>,
    in_force: watch::Sender<Generation>,
}

impl Default for ManifestState {
    fn default() -> Self {
        Self {
            adoption: Mutex::new(Adoption::awaiting_sources()),
            in_force: watch::Sender::new(0),
        }
    }
}

impl ManifestState {
    /// Returns the result of a read-only closure over the adoption.
    pub fn read<T>(&self, inspect: impl FnOnce(&Adoption) -> T) -> T {
        inspect(&self.lock())
    }

    /// Applies a change from a source to the adoption, and activates the manifest if it is now complete; returns
    /// whether the change was accepted.
    ///
    /// The lock is held until the manifest is activated, so two threads that complete two generations at once activate
    /// them in order.
    pub fn update(
        &self,
        shared: &Shared,
        source: &str,
        apply: impl FnOnce(&mut Adoption) -> Result<AdoptionStep, AdoptionError>,
    ) -> bool {
        let mut adoption = self.lock();
        let result = apply(&mut adoption);
        let accepted = match result {
            Ok(AdoptionStep::InForce(manifest)) => {
                let generation = manifest.generation;
                tracing::info!("manifest: generation {generation} is in force, from {source}.");
                shared.activate_manifest(manifest);
                self.in_force.send_replace(generation);
                true
            }
            Ok(AdoptionStep::Unchanged | AdoptionStep::FetchMissing) => true,
            Err(error) => {
                shared.metrics.fleet.manifest_faults.inc();
                tracing::warn!("manifest: a part from {source} was rejected: {error}.");
                false
            }
        };
        let status = adoption.status();
        let metrics = &shared.metrics.fleet;
        metrics.manifest_heard.set(status.heard.cast_signed());
        metrics.manifest_missing.set(status.missing as i64);
        accepted
    }

    /// Returns a watch on the active generation.
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.in_force.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Adoption> {
        self.adoption.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
