//! Settings that are reloaded while the VM runs, and the VM's counters.

use kingcuploft_entry::settings::EntrySettings;

use crate::server::Behavior;
use crate::testbed::{Caller, Testbed, lookup, run_test, settings};

/// Guards against bounds that stay in force until a restart although the settings have changed.
#[test]
fn changed_bounds_hold_after_a_reload_and_a_broken_file_changes_nothing() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let changed = || {
            let mut settings: EntrySettings = settings("vm");
            settings.bounds.repeats.allowance = 7.0;
            Ok(settings)
        };
        let allowance = || testbed.vm.context.bounds.get().repeats.allowance;
        let next = testbed.vm.reload(&changed);
        assert!((allowance() - 7.0).abs() < 1e-9);
        let broken = || Err("boot.conf:3: not of the form a.b=value".into());
        let next_of_broken = testbed.vm.reload(&broken);
        assert!((allowance() - 7.0).abs() < 1e-9);
        assert!(next_of_broken < next, "a file that is being written");
        assert_eq!(testbed.ask(&lookup("r1")).await.status, 200);
    });
}

#[test]
fn attempts_repeats_and_failures_are_counted_by_reason() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::LoseAnswer, Behavior::LoseAnswer]).await;
        assert_eq!(testbed.ask(&lookup("r1")).await.status, 502);
        let mut scraper = Caller::connect(testbed.vm.readiness_address).await;
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
