//! Planned stops cut nothing.

use std::time::Duration;

use crate::server::Act;
use crate::world::{Caller, World, look, play, until};

async fn ready_status(world: &World) -> u16 {
    let mut platform = Caller::connect(world.vm.readiness).await;
    platform
        .send("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n")
        .await;
    platform.answer().await.unwrap().status
}

/// Guards against a planned stop that cuts a lookup or an idle connection too early.
#[test]
fn a_planned_stop_answers_what_it_has_read() {
    play(async {
        let world = World::with(&[Act::After(Duration::from_millis(500))]).await;
        let (mut busy, mut idle) = (world.caller().await, world.caller().await);
        idle.send(&look("first")).await;
        assert_eq!(idle.answer().await.unwrap().status, 200);
        busy.send(&look("r1")).await;
        until(|| world.runs() == 2).await;
        let context = world.vm.context.clone();
        assert_eq!(ready_status(&world).await, 200);
        context.begin_stop(std::time::Instant::now());
        assert_eq!(ready_status(&world).await, 503);
        let stopping = tokio::task::spawn_local(world.vm.stop());
        let answer = busy.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        // A request that still comes on the idle connection is answered as well.
        idle.send(&look("late")).await;
        let answer = idle.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        assert!(idle.answer().await.is_none());
        stopping.await.unwrap();
        assert_eq!(context.callers.get(), 0);
    });
}

/// Guards against a stop that cuts pipelined requests behind the first answer.
#[test]
fn a_planned_stop_closes_a_connection_behind_its_last_request_only() {
    play(async {
        let world = World::with(&[Act::After(Duration::from_millis(400))]).await;
        let mut caller = world.caller().await;
        caller
            .send(&[look("r1"), look("r2"), look("r3")].concat())
            .await;
        until(|| world.runs() == 3).await;
        world.vm.context.begin_stop(std::time::Instant::now());
        for (id, closes) in [("r1", false), ("r2", false), ("r3", true)] {
            let answer = caller.answer().await.unwrap();
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.has("connection: close"), closes, "{id}");
        }
    });
}
