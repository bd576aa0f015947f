//! The retry budget: against a naive recount, and with no retry left.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use kingcuploft::decisions::retry::{EndedAttempt, Retry, RetryDecision, RetryReason};
use kingcuploft::settings::retry::RetrySettings;
use kingcuploft::world::backend_server::{CallEnd, CallReport};
use kingcuploft::world::contract::Contract;

const CASES: u64 = 300;

const ENDS: [CallEnd; 9] = [
    CallEnd::Answered { status: 200 },
    CallEnd::Answered { status: 404 },
    CallEnd::Answered { status: 500 },
    CallEnd::Answered { status: 503 },
    CallEnd::Refused,
    CallEnd::NeverSent,
    CallEnd::Broken,
    CallEnd::TimedOut,
    CallEnd::TooLarge,
];

fn report(end: CallEnd) -> CallReport {
    CallReport {
        end,
        latency: Duration::from_millis(5),
        load: None,
        draining: false,
    }
}

/// Returns the decision after a first attempt with plenty of time left.
fn decide(retry: &mut Retry, contract: Contract, end: CallEnd) -> RetryDecision {
    let (now, mut rng) = (Instant::now(), fastrand::Rng::with_seed(1));
    let report = report(end);
    let ended = EndedAttempt {
        contract,
        attempts: 1,
        deadline: now + Duration::from_secs(1),
        report: &report,
    };
    retry.decide(now, &mut rng, &ended)
}

/// Recounts the budget from the whole history, in tenths of a token.
fn recount(history: &[(CallEnd, bool)], settings: &RetrySettings) -> u32 {
    let mut tenths = settings.budget_at_start * 10;
    for (end, retried) in history {
        if matches!(end, CallEnd::Answered { status } if *status < 500) {
            tenths = (tenths + 1).min(settings.budget_most * 10);
        }
        tenths -= if *retried { 10 } else { 0 };
    }
    tenths / 10
}

fn history(u: &mut Unstructured<'_>) -> Result<()> {
    let settings = RetrySettings::default();
    let mut retry = Retry::new(&settings);
    let mut history = Vec::new();
    while !u.is_empty() {
        let end = match u.ratio(2, 3)? {
            true => ENDS[0],
            false => *u.choose(&ENDS)?,
        };
        let contract = *u.choose(&[Contract::RetryFreely, Contract::AtMostOnce])?;
        let allowed = recount(&history, &settings) > 0;
        let verdict = decide(&mut retry, contract, end);
        let retried = matches!(verdict, RetryDecision::Retry { .. });
        let retryable = match (end, contract) {
            (CallEnd::NeverSent | CallEnd::Refused, _) => true,
            (CallEnd::Broken, contract) => contract == Contract::RetryFreely,
            (CallEnd::Answered { status }, contract) => {
                (502..=504).contains(&status) && contract == Contract::RetryFreely
            }
            _ => false,
        };
        assert_eq!(retried, retryable && allowed, "{end:?} under {contract:?}");
        history.push((end, retried));
        assert_eq!(retry.budget(), u64::from(recount(&history, &settings)));
    }
    Ok(())
}

#[test]
fn the_budget_agrees_with_a_recount_of_the_whole_history() {
    for case in 1..=CASES {
        // The upper half of a seed chooses the case, the lower half its size in bytes.
        let size_bytes = 64 + (case * 8) % 2048;
        arbtest::arbtest(history).seed(case << 32 | size_bytes);
    }
}

#[test]
fn an_error_answer_is_passed_on_where_no_retry_is_left() {
    let settings = RetrySettings {
        budget_at_start: 0,
        ..RetrySettings::default()
    };
    let mut retry = Retry::new(&settings);
    let unavailable = CallEnd::Answered { status: 503 };
    let verdict = decide(&mut retry, Contract::RetryFreely, unavailable);
    assert_eq!(verdict, RetryDecision::Answer);
}

/// Load pattern: every backend server refuses a lookup twice. The third attempt waits a little, and not as long as the
/// next caller's (jitter).
#[test]
fn later_attempts_are_jittered() {
    let mut retry = Retry::new(&RetrySettings::default());
    let (now, mut rng) = (Instant::now(), fastrand::Rng::with_seed(3));
    let report = report(CallEnd::Refused);
    let mut pauses = Vec::new();
    for _ in 0..2 {
        let ended = EndedAttempt {
            contract: Contract::RetryFreely,
            attempts: 2,
            deadline: now + Duration::from_secs(1),
            report: &report,
        };
        match retry.decide(now, &mut rng, &ended) {
            RetryDecision::Retry { reason, after } => {
                assert_eq!(reason, RetryReason::Refused);
                pauses.push(after);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(pauses.iter().all(|p| (5..=15).contains(&p.as_millis())));
    assert_ne!(pauses[0], pauses[1]);
}
