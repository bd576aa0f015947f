use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::{BackendServer, BackendServers, Change, LAPSE_GRACE};

fn server(name: &str) -> BackendServer {
    BackendServer {
        name: name.into(),
        service: "trip".into(),
        address: ([127, 0, 0, 1], 8080).into(),
        zone: "hsinchu".into(),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        started_at: None,
    }
}

fn draining_server(name: &str) -> BackendServer {
    BackendServer {
        draining: true,
        ..server(name)
    }
}

/// Failure: a stale entry brings a draining server back.
#[test]
fn a_draining_server_is_not_brought_back_by_a_stale_entry() {
    let mut servers = BackendServers::default();
    assert_eq!(
        servers.update(server("a")),
        Some(Change::Joined("a".into()))
    );
    assert_eq!(
        servers.update(draining_server("a")),
        Some(Change::Left("a".into()))
    );
    assert_eq!(servers.update(server("a")), None);
    assert!(!servers.takes_work("a"));
}

#[test]
fn a_server_that_starts_again_under_its_name_is_used_again() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    servers.update(draining_server("a"));
    let again = BackendServer {
        started_at: Some(1_770_000_000_000),
        ..server("a")
    };
    assert_eq!(servers.update(again), Some(Change::Joined("a".into())));
    assert!(servers.takes_work("a"));
}

#[test]
fn a_server_whose_entry_is_removed_gets_no_new_requests() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    assert_eq!(
        servers.remove(Instant::now(), "a"),
        Some(Change::Left("a".into()))
    );
    assert!(!servers.takes_work("a"));
}

/// Failure: an outage of the store leaves no server to use.
#[test]
fn servers_whose_entries_expired_in_an_outage_stay_in_use_for_the_grace_period() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(server("b"));
    servers.store_returned(now, now);
    let changes = servers.remove_missing(now, std::iter::empty()).changes;
    assert_eq!(changes.len(), 2);
    assert!(servers.takes_work("a") && servers.takes_work("b"));
    assert_eq!(
        servers.update(server("a")),
        Some(Change::Updated("a".into()))
    );
    let over = now + LAPSE_GRACE;
    assert_eq!(servers.expire(over), vec![Change::Left("b".into())]);
    assert!(servers.takes_work("a") && !servers.takes_work("b"));
}

/// Failure: the grace period starts over with each report of the store's return.
#[test]
fn a_repeated_report_of_the_return_does_not_extend_the_grace_period() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    assert!(servers.store_returned(now, now));
    let again = now + Duration::from_millis(620);
    assert!(
        !servers.store_returned(again, again),
        "no news to followers"
    );
    servers.remove(again, "a");
    servers.expire(now + LAPSE_GRACE);
    assert!(!servers.takes_work("a"));
}

/// Two outages in a row: the entries that expire in the second one have their own grace period.
#[test]
fn the_return_from_a_later_outage_is_news() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.store_returned(now, now);
    let later = now + Duration::from_secs(5);
    assert!(servers.store_returned(later, later));
    servers.remove(later, "a");
    assert!(servers.takes_work("a"));
}

/// Failure: a draining server whose entry expires in an outage gets the grace period of the others.
#[test]
fn a_draining_server_gets_no_grace_period() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(draining_server("a"));
    servers.store_returned(now, now);
    assert_eq!(servers.remove(now, "a"), None);
    assert!(!servers.takes_work("a"));
}

#[test]
fn servers_that_are_gone_for_long_are_removed() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(draining_server("a"));
    servers.remove(now, "a");
    servers.expire(now + Duration::from_secs(10));
    assert!(servers.get("a").is_some(), "a late report may still come");
    servers.expire(now + Duration::from_secs(3600));
    assert!(servers.get("a").is_none());
}

#[test]
fn a_server_is_known_only_unchanged_and_present() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    assert!(servers.is_known(&server("a")));
    assert!(!servers.is_known(&draining_server("a")));
    servers.remove(Instant::now(), "a");
    assert!(!servers.is_known(&server("a")), "its return is news");
    assert_eq!(servers.present().count(), 0);
    assert_eq!(servers.in_use_count(), 0);
}

/// Failure: three thousand servers are sent to every VM that joins, and with field names each takes 230 bytes.
#[test]
fn a_server_is_encoded_as_a_short_row_and_decoded_unchanged() {
    let told = BackendServer {
        cold_for: Duration::from_millis(2500),
        started_at: Some(1_764_000_000_000),
        ..draining_server("i-1618ffe032")
    };
    let row = serde_json::to_string(&told).unwrap();
    assert!(row.len() < 100, "{} bytes: {row}", row.len());
    assert_eq!(serde_json::from_str::<BackendServer>(&row).unwrap(), told);
}

/// Guards against an entry of a server that leaves by its own word which counts as new at each list.
#[test]
fn the_entry_of_a_server_that_said_itself_that_it_leaves_is_known_as_the_store_has_it() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    assert!(matches!(
        servers.record_leaving("a", None),
        Some(Change::Left(_))
    ));
    assert_eq!(servers.record_leaving("a", None), None);
    assert!(!servers.takes_work("a"));
    assert!(servers.is_known(&server("a")));
    assert_eq!(servers.update(draining_server("a")), None);
    assert!(servers.is_known(&draining_server("a")));
    assert_eq!(servers.update(server("a")), None);
    assert!(
        servers.is_known(&draining_server("a")),
        "a late entry changes nothing"
    );
    assert!(!servers.takes_work("a"));
}

/// Guards against an answer of the process before, which takes the one that has started under its name out of use.
#[test]
fn the_last_answer_of_an_earlier_process_does_not_take_out_the_one_that_has_started() {
    let mut servers = BackendServers::default();
    let started = |at| BackendServer {
        started_at: Some(at),
        ..server("a")
    };
    servers.update(started(1));
    servers.update(started(2));
    assert_eq!(servers.record_leaving("a", Some(1)), None);
    assert!(servers.takes_work("a"));
    assert!(servers.record_leaving("a", Some(2)).is_some());
    assert!(!servers.takes_work("a"));
}

/// Guards against a server that leaves while its entry has lapsed, and is back in use with its entry.
#[test]
fn a_server_that_says_that_it_leaves_after_its_entry_lapsed_stays_out() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    servers.store_returned(now, now);
    assert!(matches!(servers.remove(now, "a"), Some(Change::Lapsed(_))));
    assert!(servers.record_leaving("a", None).is_some());
    assert_eq!(servers.update(server("a")), None);
    assert!(!servers.takes_work("a"));
}

/// Guards against an entry of another writer without a start, after which the server's own entry looks like a later one.
#[test]
fn an_entry_without_a_start_does_not_bring_back_a_server_that_leaves() {
    let mut servers = BackendServers::default();
    let started = |at| BackendServer {
        started_at: Some(at),
        ..server("a")
    };
    servers.update(started(1));
    assert!(servers.record_leaving("a", Some(1)).is_some());
    servers.update(server("a"));
    servers.update(started(1));
    assert!(!servers.takes_work("a"));
    assert!(servers.update(started(2)).is_some());
    assert!(servers.takes_work("a"));
}

/// Guards against a VM that withdraws for all what they must know of a server, as that server has told it that it leaves.
#[test]
fn a_server_that_told_one_vm_that_it_leaves_may_still_be_in_use_at_others() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    servers.record_leaving("a", None);
    assert!(!servers.takes_work("a"));
    assert!(servers.may_be_in_use_anywhere("a"));
    servers.update(draining_server("a"));
    assert!(!servers.may_be_in_use_anywhere("a"), "its entry says so");
    servers.update(server("b"));
    servers.record_leaving("b", None);
    servers.remove(now, "b");
    assert!(!servers.may_be_in_use_anywhere("b"), "its entry is gone");
}

/// Guards against VMs that take their tables for the same, or for different ones, by a digest that has come out of step.
#[test]
fn the_digest_is_that_of_the_present_entries() {
    arbtest::arbtest(|u| {
        let (mut servers, mut now) = (BackendServers::default(), Instant::now());
        for _ in 0..u.int_in_range(0..=60)? {
            let name = ["a", "b", "c", "d"][u.choose_index(4)?];
            match u.int_in_range(0..=6)? {
                0 => drop(servers.update(server(name))),
                1 => drop(servers.update(draining_server(name))),
                2 => drop(servers.remove(now, name)),
                3 => drop(servers.remove_missing(now, [name].into_iter())),
                4 => drop(servers.store_returned(now, now)),
                5 => servers.store_rewound(now, Duration::from_secs(5)),
                _ => now += Duration::from_secs(u.int_in_range(0..=400)?),
            }
            drop(servers.expire(now));
            let digests = servers.present().map(kingcuploft::utils::digest);
            assert_eq!(servers.digest(), digests.fold(0, u64::wrapping_add));
        }
        Ok(())
    });
}

/// Guards against a grace period that never ends, as nothing looks for its end.
#[test]
fn each_grace_period_ends_at_its_time() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    for name in ["a", "b"] {
        servers.update(server(name));
    }
    servers.store_returned(now, now);
    servers.remove(now, "a");
    let later = now + Duration::from_millis(500);
    servers.remove(later, "b");
    assert!(
        servers
            .expire(now + LAPSE_GRACE - Duration::from_millis(1))
            .is_empty()
    );
    assert_eq!(servers.expire(now + LAPSE_GRACE).len(), 2);
    assert!(servers.expire(later + LAPSE_GRACE).is_empty());
    assert!(servers.get("a").is_some());
    servers.expire(later + Duration::from_secs(301));
    assert!(servers.get("a").is_none() && servers.get("b").is_none());
}
