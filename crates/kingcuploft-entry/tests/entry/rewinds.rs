//! A store that comes back from a copy, as callers see it.

use crate::server::{Act, TestServer};
use crate::world::{World, book, entry, look, play, until, with_route};

/// Guards against routes that are denied again, and servers that get no work, as the copy is older than they are.
#[test]
fn callers_are_served_by_what_was_accepted_before_the_store_came_back() {
    play(async {
        let mut world = World::with(&[Act::Answer]).await;
        let copy = world.store.snapshot();
        world.store.write_configuration(with_route(2, "/added/"));
        let young = TestServer::start(Act::Answer).await;
        world.store.write_backend_server(entry(1, &young));
        world.servers.push(young);
        world.store.remove_backend_server("s0");
        let context = world.vm.context.clone();
        let is_known = || {
            let version = context.active_configuration.version() == Some(2);
            version && context.upstream("s1").is_some() && context.upstream("s0").is_none()
        };
        until(is_known).await;
        world.store.rewind(copy);
        assert_eq!(world.store.holds("s1", "thun", 2), [false; 3]);
        until(|| context.rewinds.count() == 1).await;
        let added = look("a").replace("/look/", "/added/");
        assert_eq!(world.ask(&added).await.status, 200);
        assert_eq!(world.ask(&book("b")).await.status, 200);
        assert_eq!(world.servers[0].seen.borrow().len(), 0, "one that had left");
        assert_eq!(world.servers[1].seen.borrow().len(), 2);
    });
}
