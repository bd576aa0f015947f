//! Every caller gets the whole answer to its own request, or a truthful failure.

use std::time::{Duration, Instant};

use crate::server::Act;
use crate::world::{World, look, play, until};

#[test]
fn an_answer_is_passed_on_whole() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let answer = world.ask(&look("r1")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
        assert!(answer.has("x-signed: s") && answer.has("x-id: r1"));
        let seen = world.servers[0].seen.borrow()[0].clone();
        assert!(seen.text.starts_with("GET /look/a HTTP/1.1"));
        assert_eq!(seen.header("x-meant-for"), Some("s0"));
        let left: u64 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!((1..=4000).contains(&left), "{left}");
    });
}

/// Guards against half an answer where a server breaks off in the middle.
#[test]
fn a_broken_answer_to_a_lookup_is_replaced_by_another_servers() {
    for fault in [Act::Truncate, Act::LoseAnswer, Act::Unsigned, Act::Fail] {
        play(async move {
            let world = World::with(&[fault, Act::Answer]).await;
            let mut caller = world.caller().await;
            for id in 0..6 {
                caller.send(&look(&format!("r{id}"))).await;
                let answer = caller.answer().await.unwrap();
                assert_eq!(
                    (answer.status, answer.body.as_str()),
                    (200, "hello"),
                    "{fault:?}"
                );
            }
        });
    }
}

/// Guards against an answer too many that is read as the answer to the next request.
#[test]
fn a_crossed_answer_is_skipped() {
    play(async {
        let world = World::with(&[Act::CrossedFirst]).await;
        let answer = world.ask(&look("mine")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
        assert!(answer.has("x-id: mine"));
    });
}

#[test]
fn a_failure_of_all_servers_is_passed_on_as_the_server_gave_it() {
    play(async {
        let world = World::with(&[Act::Fail, Act::Fail]).await;
        let answer = world.ask(&look("r1")).await;
        assert_eq!(answer.status, 500);
        assert!(answer.has("x-signed: s"));
        assert_eq!(world.runs(), 2, "tried as often as the route allows");
    });
}

/// Guards against a caller held beyond the route's timeout, and a server that works on for nobody.
#[test]
fn the_routes_timeout_ends_a_request_and_its_work() {
    play(async {
        let world = World::with(&[Act::Hang]).await;
        let begun = Instant::now();
        let request = look("r1").replace("/look/", "/short/");
        let answer = world.ask(&request).await;
        assert_eq!(answer.status, 504);
        assert!(begun.elapsed() < Duration::from_millis(800));
        until(|| world.servers[0].cancelled.get() == 1).await;
    });
}

#[test]
fn paths_without_a_route_are_not_found() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let answer = world.ask(&look("r1").replace("/look/", "/none/")).await;
        assert_eq!(answer.status, 404);
        assert_eq!(world.runs(), 0);
    });
}

/// Guards against a lookup that waits at a server that fell silent under it.
#[test]
fn a_lookup_at_a_silent_server_is_answered_by_another() {
    play(async {
        let world = World::with(&[Act::Hang, Act::Answer]).await;
        let silent = &world.servers[0];
        let mut asked = 0;
        // Each lookup meets it by chance.
        while asked < 6 || silent.runs.get() == 0 {
            let request = look(&format!("r{asked}")).replace("/look/", "/short/");
            assert_eq!(world.ask(&request).await.status, 200, "r{asked}");
            asked += 1;
            assert!(asked < 100, "the silent server was never met");
        }
        until(|| silent.cancelled.get() == silent.runs.get()).await;
    });
}
