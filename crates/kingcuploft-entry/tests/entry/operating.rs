//! Settings that change while the VM runs, and what it counts.

use kingcuploft_entry::settings::EntrySettings;

use crate::server::Act;
use crate::world::{Caller, World, look, play, settings};

/// Guards against bounds that hold until a restart though the settings have changed.
#[test]
fn changed_bounds_hold_after_a_reload_and_a_broken_file_changes_nothing() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let changed = || {
            let mut settings: EntrySettings = settings("vm");
            settings.bounds.repeats.allowance = 7.0;
            Ok(settings)
        };
        let allowance = || world.vm.context.bounds.get().repeats.allowance;
        world.vm.reload(&changed);
        assert!((allowance() - 7.0).abs() < 1e-9);
        world
            .vm
            .reload(&|| Err("boot.conf:3: not of the form a.b=value".into()));
        assert!((allowance() - 7.0).abs() < 1e-9);
        assert_eq!(world.ask(&look("r1")).await.status, 200);
    });
}

#[test]
fn attempts_repeats_and_failures_are_counted_by_reason() {
    play(async {
        let world = World::with(&[Act::LoseAnswer, Act::LoseAnswer]).await;
        assert_eq!(world.ask(&look("r1")).await.status, 502);
        let mut scraper = Caller::connect(world.vm.readiness).await;
        scraper
            .send("GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n")
            .await;
        let text = scraper.answer().await.unwrap().body;
        for line in [
            "kingcuploft_entry_attempts_total{reason=\"lost\"} 2",
            "kingcuploft_entry_repeats_total{reason=\"lost\"} 1",
            "kingcuploft_entry_failures_total{reason=\"closed without an answer\"} 1",
            "kingcuploft_entry_servers 2",
        ] {
            assert!(text.contains(line), "{line} is missing in\n{text}");
        }
    });
}
