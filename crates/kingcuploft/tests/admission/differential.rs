//! Random histories: the indexes give the same answers as the scans of the naive version.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use kingcuploft::decisions::admission::{Admission, AdmissionDecision, NextRequest, QueuedRequest};
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::contract::Priority;

use crate::naive::{Naive, Outcome};
use crate::{service, waiting};

const CASES: u64 = 400;

const PRIORITIES: [Priority; 3] = [
    Priority::Protected,
    Priority::Interactive,
    Priority::Background,
];

fn any_waiting(u: &mut Unstructured<'_>, request: u64, now: Instant) -> Result<QueuedRequest> {
    let caller = *u.choose(&["squad", "school", "club", "office"])?;
    let mut waiting = waiting(request, caller, *u.choose(&PRIORITIES)?, now);
    waiting.queue_limit = 12;
    waiting.caller_share = 0.75;
    waiting.deadline = now + Duration::from_millis(u.int_in_range(1..=400)?);
    Ok(waiting)
}

fn outcome(offer: AdmissionDecision) -> Outcome {
    match offer {
        AdmissionDecision::Queued => Outcome::Queued,
        AdmissionDecision::QueuedReplacing(other, _) => Outcome::InsteadOf(other),
        AdmissionDecision::Refused(refusal) => Outcome::Refused(refusal.reason),
    }
}

fn history(u: &mut Unstructured<'_>) -> Result<()> {
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(&service(settings.clone()));
    let mut naive = Naive::new(&settings);
    let mut now = Instant::now();
    let mut last = 0;
    while !u.is_empty() {
        match u.int_in_range(0..=9)? {
            0..=4 => {
                last += 1;
                let waiting = any_waiting(u, last, now)?;
                let offer = outcome(admission.offer(now, waiting.clone()));
                assert_eq!(offer, naive.offer(now, waiting));
            }
            5 | 6 => {
                let served = match admission.next(now) {
                    NextRequest::Serve(waiting) => Some((waiting.request, true)),
                    NextRequest::Shed(request, _) => Some((request, false)),
                    NextRequest::Empty => None,
                };
                assert_eq!(served, naive.next(now));
            }
            7 => {
                let request = u.int_in_range(0..=last)?;
                assert_eq!(admission.remove(request), naive.remove(request));
            }
            8 => {
                let rule = format!("{:?}", u.choose(&PRIORITIES)?).into();
                let time = Duration::from_millis(u.int_in_range(1..=60)?);
                admission.record_service_time(&rule, time);
                naive.measured(&rule, time);
            }
            _ => now += Duration::from_millis(u.int_in_range(0..=30)?),
        }
        while u.ratio(1, 2)? {
            let given_up = admission.shed_one(now).map(|(request, _)| request);
            assert_eq!(given_up, naive.give_up(now));
            if given_up.is_none() {
                break;
            }
        }
        assert_eq!(admission.len(), naive.len());
    }
    Ok(())
}

#[test]
fn the_indices_agree_with_a_scan_in_any_history() {
    for case in 1..=CASES {
        // The upper half of a seed chooses the case, the lower half its size in bytes.
        let size_bytes = 128 + (case * 16) % 4096;
        arbtest::arbtest(history).seed(case << 32 | size_bytes);
    }
}
