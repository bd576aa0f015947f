//! The concurrency limit: how many calls of one VM may be in flight to the backend servers of a service.
//!
//! **Load pattern:** 14 VMs share 22 slots. **Without it** each VM under overload fills every slot that it believes
//! free, 14 times over: requests wait at the backend servers, where no priority, share or deadline is respected, and
//! answers come late. **Grounds:** the limit rises a little for each response of a backend server where no request
//! queues, while requests wait here, and falls for each response of one where requests queue. At equilibrium a share
//! `rise / (rise + fall)` of the responses report queueing, enough to keep slots busy between two calls. The limit
//! never falls below this VM's even share of the slots (all slots divided by the live VMs), so that no VM is starved by
//! others, and never rises above all slots.

use std::time::Duration;

use super::service_time::ServiceTime;
use crate::manifest::Service;
use crate::settings::concurrency::ConcurrencySettings;
use crate::world::backend_server::{CallEnd, CallReport};

/// How many times the baseline latency a response without a load report takes where requests queue.
const QUEUEING_LATENCY_FACTOR: f64 = 2.0;

/// How fast the baseline latency rises per sample: a service that became slower for good gets a new baseline after
/// about a thousand responses.
const BASELINE_RISE_PER_SAMPLE: f64 = 0.001;

/// The concurrency limit of one service on one VM.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    slots: f64,
    live_vms: u32,
    limit: f64,
    in_flight: usize,
    baseline_s: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the even share where the live VMs are known, else at all slots.
    pub fn new(service: &Service, live_vms: Option<u32>) -> Self {
        let mut concurrency = Self {
            settings: service.policy.concurrency.clone(),
            slots: slots(service),
            live_vms: live_vms.unwrap_or(u32::MAX),
            limit: 0.0,
            in_flight: 0,
            baseline_s: None,
        };
        concurrency.limit = match live_vms {
            Some(_) => concurrency.floor(),
            None => concurrency.slots,
        };
        concurrency
    }

    /// Takes the slots and settings of a new manifest.
    pub fn update_service(&mut self, service: &Service) {
        self.settings = service.policy.concurrency.clone();
        self.slots = slots(service);
        self.limit = self.limit.clamp(self.floor(), self.ceiling());
    }

    /// Sets how many VMs are live.
    pub fn set_live_vms(&mut self, live_vms: u32) {
        self.live_vms = live_vms.max(1);
        self.limit = self.limit.clamp(self.floor(), self.ceiling());
    }

    /// Sets how many calls are in flight.
    pub fn set_in_flight(&mut self, in_flight: usize) {
        self.in_flight = in_flight;
    }

    /// Returns whether another call may be sent.
    pub fn has_capacity(&self) -> bool {
        !self.settings.adaptive || self.in_flight < self.limit()
    }

    /// Returns the limit in whole calls.
    pub fn limit(&self) -> usize {
        self.limit.round().max(1.0) as usize
    }

    /// Returns how many calls are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call ended; `slots` are those of its backend server, `requests_wait` says whether requests wait
    /// on this VM.
    pub fn record_end(
        &mut self,
        report: &CallReport,
        slots: u32,
        service_time: ServiceTime,
        requests_wait: bool,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let queues_there = match (report.end, report.load) {
            (CallEnd::Refused, _) => true,
            (CallEnd::Answered { .. }, Some(load)) => {
                f64::from(load.in_flight) > f64::from(slots) * self.settings.full_at
            }
            (CallEnd::Answered { .. }, None) => {
                self.is_above_baseline(report.latency, service_time)
            }
            _ => return,
        };
        let (rise, fall) = (self.settings.rise, self.settings.fall);
        let limit = match (queues_there, requests_wait) {
            (true, _) => self.limit - fall,
            (false, true) => self.limit + rise / self.limit,
            (false, false) => return,
        };
        self.limit = limit.clamp(self.floor(), self.ceiling());
    }

    /// Compares a latency with the baseline: the lowest recent median.
    fn is_above_baseline(&mut self, latency: Duration, now: ServiceTime) -> bool {
        let median_s = now.median().as_secs_f64();
        let baseline_s = self.baseline_s.get_or_insert(median_s);
        *baseline_s = (*baseline_s * (1.0 + BASELINE_RISE_PER_SAMPLE)).min(median_s);
        latency.as_secs_f64() > *baseline_s * QUEUEING_LATENCY_FACTOR
    }

    fn floor(&self) -> f64 {
        (self.slots / f64::from(self.live_vms)).max(1.0)
    }

    fn ceiling(&self) -> f64 {
        self.slots.max(1.0)
    }
}

fn slots(service: &Service) -> f64 {
    let servers = service.backend_servers.iter();
    servers.map(|s| f64::from(s.slots)).sum()
}
