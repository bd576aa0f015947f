//! The rule on callers of VMs that are cut off from the servers of a service.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::{CutFromServers, DisturbanceCause, Outcome, Request};

/// How often first tries at VMs that are cut off must be served at least, as a share of those at the others.
const MIN_SERVED: f64 = 2.0 / 3.0;

/// How many first tries may fail there, whatever their share.
const ALLOWED_FAILURES: f64 = 10.0;

/// The share of all first tries that may fail there in addition.
const ALLOWED_FAILURE_SHARE: f64 = 1.0 / 50.0;

/// The usage where no first try at all is served at the VMs that are cut off.
const MAX_USED: f64 = 10.0;

/// The first tries at some VMs.
#[derive(Clone, Copy, Debug, Default)]
struct FirstTries {
    sent: usize,
    served: usize,
}

impl FirstTries {
    fn add(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }

    fn served_share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Returns how much less often first tries at VMs that are cut off are served than those at the others, from the contact
/// time after the cut began, as a share of what is allowed.
pub(super) fn first_tries(history: &IndexedHistory<'_>) -> BoundUsage {
    let mut greatest = BoundUsage::none(Rule::FirstTriesAtCutVms);
    for cut in history.raw.cuts_from_servers.borrow().iter() {
        let (at_cut, at_others) = count(history, cut);
        let used = used(at_cut, at_others);
        greatest = greatest.or_greater(used, || {
            format!(
                "from {:?} VMs cut off from servers served {} of {} first tries, the others {} of {}",
                cut.from, at_cut.served, at_cut.sent, at_others.served, at_others.sent
            )
        });
    }
    greatest
}

fn used(at_cut: FirstTries, at_others: FirstTries) -> f64 {
    // Where the others serve nothing either, no VM is worse off.
    if at_cut.sent == 0 || at_others.served == 0 {
        return 0.0;
    }
    let all = (at_cut.sent + at_others.sent) as f64;
    let by_count = at_cut.failed() as f64 / (ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * all);
    let by_share = MIN_SERVED * at_others.served_share() / at_cut.served_share();
    // The rule is broken only if both bounds are.
    by_count.min(by_share).min(MAX_USED)
}

fn count(history: &IndexedHistory<'_>, cut: &CutFromServers) -> (FirstTries, FirstTries) {
    let (mut at_cut, mut at_others) = (FirstTries::default(), FirstTries::default());
    let from = cut.from + contact(history);
    let during = history.requests.iter().filter(|request| {
        request.is_first && !request.is_deadly && request.at >= from && request.at < cut.until
    });
    for request in during.filter(|request| concerns(history, cut, request)) {
        let is_served = history.outcome(request.id) == Some(Outcome::Complete);
        if cut.vms.contains(&request.vm) {
            at_cut.add(is_served);
        } else if !is_cut_off_otherwise(history, request) {
            at_others.add(is_served);
        }
    }
    (at_cut, at_others)
}

fn contact(history: &IndexedHistory<'_>) -> Duration {
    Duration::from_millis(history.deployment.bounds.contact_ms)
}

/// Returns whether a request is for a service that is cut off, at a VM that has run undisturbed.
fn concerns(history: &IndexedHistory<'_>, cut: &CutFromServers, request: &Request) -> bool {
    let service = &history.deployment.kinds[request.kind].service;
    let is_meant = cut.service.as_ref().is_none_or(|meant| meant == service);
    let causes = [
        DisturbanceCause::PlannedStop,
        DisturbanceCause::CutOff,
        DisturbanceCause::Fault,
    ];
    let since = request.at.saturating_sub(contact(history));
    let until = request.at + contact(history);
    is_meant
        && !history
            .raw
            .was_disturbed_by(request.vm, since, until, &causes)
}

/// Returns whether another cut concerns the VM of a request at the time.
fn is_cut_off_otherwise(history: &IndexedHistory<'_>, request: &Request) -> bool {
    let cuts = history.raw.cuts_from_servers.borrow();
    cuts.iter().any(|cut| {
        let is_during = request.at >= cut.from && request.at < cut.until + contact(history);
        is_during && cut.vms.contains(&request.vm)
    })
}
