//! A newer manifest comes into force while requests wait and calls are in flight.

use std::sync::Arc;
use std::time::Instant;

use super::service_state::ServiceState;
use super::{Action, Dispatcher};
use crate::manifest::{AcceptedManifest, Service};
use crate::world::refusal::{Refusal, RefusalReason};

impl Dispatcher {
    /// Brings a manifest into force.
    ///
    /// What waits stays in its queue, and what is in flight stays counted at its backend server,
    /// wherever that now stands in the manifest. Requests of a service that is gone are told so;
    /// its calls in flight still get their answers.
    pub(super) fn adopted(
        &mut self,
        now: Instant,
        accepted: &AcceptedManifest,
        actions: &mut Vec<Action>,
    ) {
        self.generation = accepted.generation;
        let mut old = std::mem::take(&mut self.services);
        for service in &accepted.manifest.services {
            let state = self.state_under(now, service, old.remove(&service.name));
            self.services.insert(service.name.clone(), state);
        }
        for gone in old.into_values() {
            for id in gone.into_waiting() {
                let refusal = Refusal::not_run(RefusalReason::NoSuchService);
                self.refuse(id, refusal, actions);
            }
        }
        self.pump_all(now, actions);
    }

    fn state_under(
        &self,
        now: Instant,
        service: &Arc<Service>,
        old: Option<ServiceState>,
    ) -> ServiceState {
        let attempts = self.attempts.values();
        let attempts = attempts.filter(|attempt| attempt.service == service.name);
        let live_vms = self.live_vms;
        let mut state =
            ServiceState::new(Arc::clone(service), &self.vm, live_vms, old, now, attempts);
        state.membership(now, &self.vm.name, &self.live);
        state
    }
}
