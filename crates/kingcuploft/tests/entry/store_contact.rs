//! Which losses of the store count as outages in which entries may have expired.

use std::time::{Duration, Instant};

use kingcuploft::entry::store_contact::{StoreAnswer, StoreContact};

/// How often servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1500);

fn answer(contact: &mut StoreContact, at: Instant) -> StoreAnswer {
    contact.call_answered(at, HEARTBEAT)
}

/// Guards against a VM that begins to read the store and takes its first answer for the end of an outage.
#[test]
fn the_first_answer_is_no_return_even_if_the_feeder_had_lost_the_store() {
    let mut contact = StoreContact::default();
    contact.feeder_has_store(false);
    assert!(contact.is_lost());
    assert_eq!(answer(&mut contact, Instant::now()), StoreAnswer::InContact);
    assert!(!contact.is_lost());
}

#[test]
fn calls_that_fail_for_a_heartbeat_make_an_outage_and_for_less_do_not() {
    let now = Instant::now();
    for (ms, expected) in [(1_499, false), (1_500, true)] {
        let mut contact = StoreContact::default();
        contact.call_failed(now);
        contact.call_failed(now + HEARTBEAT / 2);
        let away_for = Duration::from_millis(ms);
        let expected = match expected {
            true => StoreAnswer::BackAfterOutage(away_for),
            false => StoreAnswer::BackSoon(away_for),
        };
        assert_eq!(answer(&mut contact, now + away_for), expected);
        assert_eq!(answer(&mut contact, now + away_for), StoreAnswer::InContact);
    }
}

/// Guards against failed calls that are remembered for minutes by a VM that has had the store by its feeder since.
#[test]
fn a_feeder_that_has_the_store_ends_the_loss() {
    let now = Instant::now();
    let mut contact = StoreContact::default();
    contact.call_failed(now);
    contact.feeder_has_store(true);
    assert!(!contact.is_lost());
    let later = now + Duration::from_secs(60);
    assert_eq!(answer(&mut contact, later), StoreAnswer::InContact);
}
