//! Replaces the manifest in force while requests wait and calls are in flight.

use std::sync::Arc;
use std::time::Instant;

use super::service_state::ServiceState;
use super::{Action, Dispatcher};
use crate::manifest::{AcceptedManifest, Service};
use crate::world::refusal::{Refusal, RefusalReason};

impl Dispatcher {
    /// Puts a manifest in force.
    ///
    /// Waiting requests stay in their queues, and calls in flight stay counted at their backend servers, whatever the
    /// servers' new indices are. The waiting requests of a removed service are refused; its calls in flight are still
    /// answered.
    pub(super) fn adopt(
        &mut self,
        now: Instant,
        accepted: &AcceptedManifest,
        actions: &mut Vec<Action>,
    ) {
        self.generation = accepted.generation;
        let mut old = std::mem::take(&mut self.services);
        for service in &accepted.manifest.services {
            let state = self.build_state(now, service, old.remove(&service.name));
            self.services.insert(service.name.clone(), state);
        }
        for removed in old.into_values() {
            for id in removed.into_waiting() {
                let refusal = Refusal::not_run(RefusalReason::NoSuchService);
                self.refuse(id, refusal, actions);
            }
        }
        self.send_all_waiting(now, actions);
    }

    fn build_state(
        &self,
        now: Instant,
        service: &Arc<Service>,
        old: Option<ServiceState>,
    ) -> ServiceState {
        let attempts = self.attempts.values();
        let attempts = attempts.filter(|attempt| attempt.service == service.name);
        let live_vm_count = self.live_vm_count;
        let mut state = ServiceState::new(
            Arc::clone(service),
            &self.vm,
            live_vm_count,
            old,
            now,
            attempts,
        );
        state.update_members(now, &self.vm.name, &self.live_vm_names);
        state
    }
}
