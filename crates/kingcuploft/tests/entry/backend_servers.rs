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

fn leaving(name: &str) -> BackendServer {
    BackendServer {
        draining: true,
        ..server(name)
    }
}

/// Guards against an old report that brings a leaving server back.
#[test]
fn a_leaving_server_is_not_brought_back_by_an_old_report() {
    let mut servers = BackendServers::default();
    assert_eq!(
        servers.update(server("a")),
        Some(Change::Joined("a".into()))
    );
    assert_eq!(servers.update(leaving("a")), Some(Change::Left("a".into())));
    assert_eq!(servers.update(server("a")), None);
    assert!(!servers.takes_work("a"));
}

#[test]
fn a_server_that_starts_again_under_its_name_is_used_again() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    servers.update(leaving("a"));
    let again = BackendServer {
        started_at: Some(1_770_000_000_000),
        ..server("a")
    };
    assert_eq!(servers.update(again), Some(Change::Joined("a".into())));
    assert!(servers.takes_work("a"));
}

#[test]
fn a_server_whose_entry_goes_gets_no_new_work() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    assert_eq!(
        servers.remove(Instant::now(), "a"),
        Some(Change::Left("a".into()))
    );
    assert!(!servers.takes_work("a"));
}

/// Guards against an outage of the store that leaves no server to use.
#[test]
fn entries_that_lapsed_in_an_outage_are_used_until_they_could_be_back() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(server("b"));
    servers.store_returned(now);
    let changes = servers.remove_missing(now, std::iter::empty());
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

/// Guards against a grace that begins again with each word of the store's return.
#[test]
fn a_return_that_is_told_again_does_not_lengthen_the_grace() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    assert!(servers.store_returned(now));
    let again = now + Duration::from_millis(620);
    assert!(!servers.store_returned(again), "no news to followers");
    servers.remove(again, "a");
    servers.expire(now + LAPSE_GRACE);
    assert!(!servers.takes_work("a"));
}

/// Two outages in a row: the entries that lapse in the second have their own grace.
#[test]
fn the_return_from_a_later_outage_is_news() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.store_returned(now);
    let later = now + Duration::from_secs(5);
    assert!(servers.store_returned(later));
    servers.remove(later, "a");
    assert!(servers.takes_work("a"));
}

/// A leaving server's entry lapses in the same outage. It must not get the grace of the others.
#[test]
fn a_leaving_server_gets_no_grace() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(leaving("a"));
    servers.store_returned(now);
    assert_eq!(servers.remove(now, "a"), None);
    assert!(!servers.takes_work("a"));
}

#[test]
fn servers_that_are_gone_for_long_are_forgotten() {
    let (mut servers, now) = (BackendServers::default(), Instant::now());
    servers.update(server("a"));
    servers.update(leaving("a"));
    servers.remove(now, "a");
    servers.expire(now + Duration::from_secs(10));
    assert!(servers.get("a").is_some(), "a late report may still come");
    servers.expire(now + Duration::from_secs(3600));
    assert!(servers.get("a").is_none());
}

#[test]
fn news_is_what_is_not_known_yet() {
    let mut servers = BackendServers::default();
    servers.update(server("a"));
    assert!(servers.is_known(&server("a")));
    assert!(!servers.is_known(&leaving("a")));
    servers.remove(Instant::now(), "a");
    assert!(!servers.is_known(&server("a")), "its return is news");
    assert_eq!(servers.present().count(), 0);
    assert_eq!(servers.in_use_count(), 0);
}

/// Three thousand servers are told to every VM that joins. With field names each took 230 bytes.
#[test]
fn a_server_is_told_in_a_short_row_and_read_as_it_was() {
    let told = BackendServer {
        cold_for: Duration::from_millis(2500),
        started_at: Some(1_764_000_000_000),
        ..leaving("i-1618ffe032")
    };
    let row = serde_json::to_string(&told).unwrap();
    assert!(row.len() < 100, "{} bytes: {row}", row.len());
    assert_eq!(serde_json::from_str::<BackendServer>(&row).unwrap(), told);
}
