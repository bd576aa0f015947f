//! Known backend servers after the store was restored from a copy.

use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::{BackendServer, BackendServers, Change, LAPSE_GRACE};
use kingcuploft::entry::era::{era_of, moment, revision_of};

/// How long an entry lasts that nobody renews.
const ENTRY_LIFETIME: Duration = Duration::from_secs(5);

fn server(name: &str, draining: bool) -> BackendServer {
    BackendServer {
        name: name.into(),
        service: "trip".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 3,
        draining,
        cold_for: Duration::ZERO,
        started_at: None,
    }
}

/// Failure: a revision that the store used before its restore counts as known.
#[test]
fn a_moment_of_a_later_era_is_later_whatever_its_revision() {
    assert!(moment(6, 1) > moment(5, 1_000_000_000_000));
    assert!(moment(6, 2) > moment(6, 1));
    let last = moment(900_000, 17_000_000_000_000);
    assert_eq!(
        (era_of(last), revision_of(last)),
        (900_000, 17_000_000_000_000)
    );
    assert_eq!(moment(0, 7), 7);
}

/// Failure: servers get no requests because their entries are newer than the restored copy.
#[test]
fn a_server_missing_from_the_copy_stays_in_use_until_it_could_rewrite_its_entry() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    servers.update(server("young", false));
    servers.store_rewound(now, ENTRY_LIFETIME);
    let lapsed = servers.remove_missing(now, std::iter::empty()).changes;
    assert_eq!(lapsed, [Change::Lapsed("young".into())]);
    assert!(servers.takes_work("young"));
    servers.update(server("young", false));
    assert_eq!(servers.expire(now + ENTRY_LIFETIME), []);
    assert!(servers.takes_work("young"));
}

#[test]
fn a_server_that_does_not_rewrite_its_entry_is_gone() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    servers.update(server("lost", false));
    servers.store_rewound(now, ENTRY_LIFETIME);
    servers.remove_missing(now, std::iter::empty());
    let changes = servers.expire(now + LAPSE_GRACE);
    assert_eq!(changes, [Change::Left("lost".into())]);
}

/// Failure: a server that has left gets requests because its entry is back with the restored copy.
#[test]
fn a_server_that_left_before_the_restore_gets_no_requests_unless_its_entry_lasts() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    for name in ["ended", "lapsed"] {
        servers.update(server(name, false));
        servers.remove(now, name);
    }
    servers.store_rewound(now, ENTRY_LIFETIME);
    for name in ["ended", "lapsed"] {
        assert_eq!(servers.update(server(name, false)), None);
        assert!(!servers.takes_work(name));
    }
    assert_eq!(servers.remove(now + ENTRY_LIFETIME / 2, "ended"), None);
    let changes = servers.expire(now + ENTRY_LIFETIME);
    assert_eq!(changes, [Change::Joined("lapsed".into())]);
    assert!(servers.takes_work("lapsed") && !servers.takes_work("ended"));
}

/// Failure: a draining server gets requests because the restored copy is older than its draining state.
#[test]
fn a_draining_server_stays_out_whatever_the_copy_says() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    servers.update(server("s", false));
    servers.update(server("s", true));
    servers.store_rewound(now, ENTRY_LIFETIME);
    assert_eq!(servers.update(server("s", false)), None);
    servers.expire(now + 2 * ENTRY_LIFETIME);
    assert!(!servers.takes_work("s"));
}

#[test]
fn a_server_that_starts_again_under_its_name_is_used_at_once() {
    let now = Instant::now();
    let mut servers = BackendServers::default();
    let born = |at| BackendServer {
        started_at: Some(at),
        ..server("s", false)
    };
    servers.update(born(1));
    servers.remove(now, "s");
    servers.store_rewound(now, ENTRY_LIFETIME);
    assert_eq!(servers.update(born(1)), None);
    assert_eq!(servers.update(born(2)), Some(Change::Joined("s".into())));
}
