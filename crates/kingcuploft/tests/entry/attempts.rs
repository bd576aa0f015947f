use kingcuploft::entry::attempts::{AttemptEnd, Attempts, NextAction};
use kingcuploft::world::contract::Contract;

const ENDS: [AttemptEnd; 7] = [
    AttemptEnd::Succeeded,
    AttemptEnd::Failed,
    AttemptEnd::NotRun,
    AttemptEnd::Unsent,
    AttemptEnd::Lost,
    AttemptEnd::Broken,
    AttemptEnd::TimedOut,
];

/// Failure: a booking runs twice because its answer is lost.
#[test]
fn a_protected_request_is_sent_again_only_on_proof_that_it_did_not_run() {
    for end in ENDS {
        let mut attempts = Attempts::new(Contract::AtMostOnce, 3);
        attempts.record_sent();
        let action = attempts.record_outcome(end);
        let proved = matches!(end, AttemptEnd::NotRun | AttemptEnd::Unsent);
        assert_eq!(action == NextAction::Retry, proved, "{end:?}");
        assert_eq!(attempts.may_send(0), proved, "{end:?}");
        assert!(!attempts.may_send(1), "{end:?}: one is still in flight");
    }
}

/// Failure: a caller is told "not run" although an attempt may have run.
#[test]
fn not_run_is_promised_only_when_no_attempt_may_have_run() {
    arbtest::arbtest(|u| {
        let contract = match u.arbitrary::<bool>()? {
            true => Contract::AtMostOnce,
            false => Contract::RetryFreely,
        };
        let mut attempts = Attempts::new(contract, u.int_in_range(1..=4)?);
        let mut may_have_run = false;
        for _ in 0..u.int_in_range(0..=4)? {
            let end = *u.choose(&ENDS)?;
            attempts.record_sent();
            may_have_run |= end.may_have_run();
            attempts.record_outcome(end);
        }
        let timed_out = u.arbitrary()?;
        let status = attempts.failure_status(timed_out);
        assert_eq!(status == 503, !may_have_run);
        Ok(())
    });
}

#[test]
fn a_lookup_goes_to_at_most_as_many_servers_as_its_route_allows() {
    let mut attempts = Attempts::new(Contract::RetryFreely, 2);
    assert_eq!(attempts.record_outcome(AttemptEnd::Lost), NextAction::Retry);
    assert_eq!(
        attempts.record_outcome(AttemptEnd::Lost),
        NextAction::GiveUp
    );
}

#[test]
fn a_server_that_did_not_run_a_request_does_not_use_up_its_attempts() {
    let mut attempts = Attempts::new(Contract::RetryFreely, 1);
    assert_eq!(
        attempts.record_outcome(AttemptEnd::NotRun),
        NextAction::Retry
    );
    assert_eq!(
        attempts.record_outcome(AttemptEnd::Failed),
        NextAction::PassOn
    );
}

/// Guards against a request that is refused for lack of a budget of repeats though nothing of it was sent.
#[test]
fn an_attempt_of_which_nothing_was_sent_makes_the_next_one_no_repeat() {
    let after = |ends: &[AttemptEnd]| {
        let mut attempts = Attempts::new(Contract::AtMostOnce, 3);
        for end in ends {
            attempts.record_sent();
            attempts.record_outcome(*end);
        }
        attempts.next_is_repeat()
    };
    assert!(!after(&[AttemptEnd::Unsent]));
    assert!(!after(&[AttemptEnd::Unsent; 3]));
    assert!(after(&[AttemptEnd::Unsent; 20]), "without end");
    assert!(after(&[AttemptEnd::NotRun]));
    assert!(after(&[AttemptEnd::Unsent, AttemptEnd::NotRun]));
    assert!(after(&[AttemptEnd::Lost, AttemptEnd::Unsent]));
}
