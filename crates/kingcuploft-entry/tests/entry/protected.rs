//! Protected requests run at most once, and "not run" is true.

use crate::server::Act;
use crate::world::{World, book, play};

/// Guards against a second run of a booking whose answer is lost.
#[test]
fn a_booking_whose_answer_is_lost_is_not_sent_again() {
    for fault in [Act::LoseAnswer, Act::Truncate, Act::Unsigned] {
        play(async move {
            let world = World::with(&[fault, fault, fault]).await;
            let answer = world.ask(&book("b1")).await;
            assert_eq!(answer.status, 502, "{fault:?}");
            assert!(!answer.has("retry-after"));
            assert_eq!(world.runs(), 1, "{fault:?}");
        });
    }
}

/// A server is full and says that it did not run the booking; another has room.
#[test]
fn a_booking_that_provably_did_not_run_goes_to_another_server() {
    for refusal in [Act::Shed, Act::Misdirected] {
        play(async move {
            let world = World::with(&[refusal, Act::Answer, refusal]).await;
            let answer = world.ask(&book("b1")).await;
            assert_eq!(answer.status, 200, "{refusal:?}");
            assert_eq!(world.runs(), 1);
        });
    }
}

/// Guards against a booking held, or left open, where all servers are full.
#[test]
fn a_booking_that_all_servers_refuse_is_refused_as_not_run() {
    play(async {
        let world = World::with(&[Act::Shed, Act::Shed]).await;
        let answer = world.ask(&book("b1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert_eq!(world.runs(), 0);
    });
}

#[test]
fn a_failure_of_the_server_is_final_for_a_booking() {
    play(async {
        let world = World::with(&[Act::Fail, Act::Fail]).await;
        let answer = world.ask(&book("b1")).await;
        assert_eq!(answer.status, 500);
        assert_eq!(world.runs(), 1);
    });
}

/// No server listens any more: nothing was sent, and that is what the caller is told.
#[test]
fn a_booking_that_reached_no_server_is_refused_as_not_run() {
    play(async {
        let world = World::with(&[]).await;
        let answer = world.ask(&book("b1").replace("4000", "200")).await;
        assert_eq!(answer.status, 503);
    });
}

/// A server falls silent while it works on a booking. It may have run; no other server gets it.
#[test]
fn a_booking_at_a_silent_server_gets_no_second_look() {
    play(async {
        let world = World::with(&[Act::Hang, Act::Hang]).await;
        let answer = world.ask(&book("b1").replace("4000", "900")).await;
        assert_eq!(answer.status, 504);
        assert_eq!(world.runs(), 1);
    });
}
