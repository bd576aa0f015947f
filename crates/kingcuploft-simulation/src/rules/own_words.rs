//! Rules on what servers say of themselves in their answers: that they leave, and that they want a pause.

use std::time::Duration;

use kingcuploft::utils::HashMap;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::{Arrival, DisturbanceCause, VmIndex};

/// How long after a refusal requests may arrive that were on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// How many requests a server may get from a VM between that moment and the end of its pause.
const MAX_IN_PAUSE: usize = 2;

/// The arrivals at each server from each VM.
type ArrivalsByPath<'a> = HashMap<(usize, VmIndex), Vec<&'a Arrival>>;

fn arrivals_by_path<'a>(history: &'a IndexedHistory<'_>) -> ArrivalsByPath<'a> {
    let mut by_path = ArrivalsByPath::default();
    for arrival in &history.arrivals {
        let path = (arrival.server, arrival.vm);
        by_path.entry(path).or_default().push(arrival);
    }
    by_path
}

/// Returns how long after a VM had passed on an answer that says that its server leaves a caller sent a request that
/// reached the server through that VM, as a share of the drain time.
pub(super) fn leaving_answers(history: &IndexedHistory<'_>) -> BoundUsage {
    let drain = Duration::from_millis(history.deployment.bounds.drain_ms);
    let by_path = arrivals_by_path(history);
    let mut greatest = BoundUsage::none(Rule::LeavingAnswers);
    for answer in history.raw.leaving_answers.borrow().iter() {
        let of_path = by_path.get(&(answer.server, answer.vm));
        let later = of_path.into_iter().flatten().filter(|arrival| {
            // A process that has ended or stood still since then is excused; one that was cut off is not.
            arrival.at >= answer.at
                && !history.raw.was_disturbed_by(
                    answer.vm,
                    answer.at,
                    arrival.at,
                    &[DisturbanceCause::PlannedStop, DisturbanceCause::Fault],
                )
        });
        for arrival in later {
            let Some(sent_at) = history.sent_at(arrival.id) else {
                continue;
            };
            let late = sent_at.saturating_sub(answer.at);
            greatest = greatest.or_greater(late.as_secs_f64() / drain.as_secs_f64(), || {
                let (server, vm) = (answer.server, answer.vm);
                format!("server {server} said to VM {vm} at {:?} that it leaves, and got a request of {sent_at:?}", answer.at)
            });
        }
    }
    greatest
}

/// Returns how many requests any server got from a VM during a pause that it had asked the VM for, as a share of those
/// allowed.
pub(super) fn requested_pauses(history: &IndexedHistory<'_>) -> BoundUsage {
    let by_path = arrivals_by_path(history);
    let mut greatest = BoundUsage::none(Rule::RequestedPauses);
    for asked in history.raw.requested_pauses.borrow().iter() {
        let (from, until) = (asked.at + ON_THE_WAY, asked.at + asked.pause);
        let of_path = by_path.get(&(asked.server, asked.vm));
        let during = of_path.into_iter().flatten().filter(|arrival| {
            arrival.at > from
                && arrival.at < until
                && !history.raw.was_disturbed_by(
                    asked.vm,
                    asked.at,
                    arrival.at,
                    &[
                        DisturbanceCause::PlannedStop,
                        DisturbanceCause::CutOff,
                        DisturbanceCause::Fault,
                    ],
                )
        });
        let count = during.count();
        greatest = greatest.or_greater(count as f64 / MAX_IN_PAUSE as f64, || {
            let (server, vm, pause) = (asked.server, asked.vm, asked.pause);
            format!("server {server} asked VM {vm} at {:?} for a pause of {pause:?}, and got {count} requests", asked.at)
        });
    }
    greatest
}
