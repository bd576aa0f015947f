//! Runs several daemons with fast heartbeats and a platform store in the test process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::manifest::reader;
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};
use kingcuploft_standins::platform::Platform;
use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::Settings;
use tokio::runtime::Runtime;

/// The time limit for a change to reach every daemon.
pub(crate) const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// A platform store and the daemons that use it.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) daemons: Vec<Daemon>,
    _runtime: Runtime,
    started: usize,
}

impl Fleet {
    /// Starts a platform store and daemons, alternating between two zones.
    pub(crate) fn start(daemons: usize) -> Self {
        let runtime = Runtime::new().unwrap();
        let mut fleet = Self {
            platform: Platform::start(&runtime).unwrap(),
            daemons: Vec::new(),
            _runtime: runtime,
            started: 0,
        };
        for _ in 0..daemons {
            fleet.add();
        }
        fleet
    }

    /// Starts one more daemon with the addresses of all others as its initial peers.
    pub(crate) fn add(&mut self) -> usize {
        let peers: Vec<String> = self
            .peers()
            .iter()
            .map(|peer| format!("'{peer}'"))
            .collect();
        self.add_with(&format!("peers: [{}]", peers.join(", ")))
    }

    /// Starts one more daemon with additional peer settings in YAML flow style; returns its index.
    pub(crate) fn add_with(&mut self, peer: &str) -> usize {
        let index = self.started;
        let zone = ["a", "b"][index % 2];
        let daemon = start_daemon(&format!("entry-{index}"), zone, &self.platform, peer);
        self.started += 1;
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Returns the peer addresses of the daemons.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.filter_map(Daemon::peer_address).collect()
    }

    /// Returns a store client that does not give up on faults early.
    pub(crate) fn client(&self) -> Client {
        let settings = ClientSettings {
            failures_to_open: 1000,
            ..ClientSettings::default()
        };
        Client::with_settings(&self.platform.address().to_string(), settings, 1)
    }

    /// Applies a manifest of services and returns its generation; the deadline of each service distinguishes its
    /// content.
    pub(crate) fn apply(&self, services: &[(&str, u64)]) -> u64 {
        let manifest = reader::read("test", &manifest_text(services)).unwrap();
        let id = format!("{services:?}");
        match manifest_root::apply(&self.client(), manifest, &id).unwrap() {
            ApplyOutcome::Accepted(generation) => generation,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the manifest generation that each daemon has in force.
    pub(crate) fn generations(&self) -> Vec<u64> {
        self.daemons.iter().map(generation).collect()
    }

    /// Waits until every daemon has this manifest generation in force.
    pub(crate) fn wait_in_force(&self, generation: u64) {
        let all = || self.generations().iter().all(|g| *g == generation);
        until(PROPAGATION_TIMEOUT, all, || {
            format!("{:?}", self.generations())
        });
    }

    /// Returns the number of peer links of each daemon.
    pub(crate) fn links(&self) -> Vec<i64> {
        let daemons = self.daemons.iter();
        let links = daemons.map(|d| d.shared().metrics.fleet.peer_links.get());
        links.collect()
    }

    /// Waits until every daemon sees this number of live members, itself included.
    pub(crate) fn wait_live(&self, count: usize) {
        let live = || self.daemons.iter().map(live_members).collect::<Vec<_>>();
        until(
            PROPAGATION_TIMEOUT,
            || live().iter().all(|n| *n == count),
            || format!("{:?}", live()),
        );
    }

    /// Stops all daemons in parallel.
    pub(crate) fn stop(self) {
        std::thread::scope(|scope| {
            for daemon in self.daemons {
                scope.spawn(|| daemon.stop());
            }
        });
    }
}

/// Starts a daemon with fast heartbeats and additional peer settings in YAML flow style.
pub(crate) fn start_daemon(name: &str, zone: &str, platform: &Platform, peer: &str) -> Daemon {
    let text = format!(
        "{{vm: {name}, availability_zone: {zone}, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '{}', limits: {{workers: 1}}, store: {{call_timeout_ms: 300, failures_to_open: 1000}}, peer: {{listen: '127.0.0.1:0', membership: {{beat_ms: 100, suspect_ms: 500, gone_ms: 1000, forget_ms: 2000}}, {peer}}}}}",
        platform.address(),
    );
    let settings: Settings = serde_saphyr::from_str(&text).unwrap();
    Daemon::start(settings).unwrap()
}

/// Returns the YAML text of a manifest of services, each with this deadline.
pub(crate) fn manifest_text(services: &[(&str, u64)]) -> String {
    let mut text = String::from("services:\n");
    for (i, (name, deadline_ms)) in services.iter().enumerate() {
        text += &format!(
            "  - {{name: {name}, hosts: [{name}.example], backend_servers: [{{name: {name}-1, address: '127.0.0.1:{}', availability_zone: a, slots: 2, connections: 220}}], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}\n",
            i + 1
        );
    }
    text
}

/// Returns the manifest generation that a daemon has in force.
pub(crate) fn generation(daemon: &Daemon) -> u64 {
    daemon.shared().accepted.load().generation
}

/// Returns how many live members a daemon sees.
pub(crate) fn live_members(daemon: &Daemon) -> usize {
    use kingcuploft::decisions::membership::MemberState;
    let members = daemon.shared().fleet.members();
    members
        .iter()
        .filter(|m| m.state == MemberState::Live)
        .count()
}

/// Waits until a condition holds; panics with a description of the state after the time limit.
pub(crate) fn until(limit: Duration, mut holds: impl FnMut() -> bool, state: impl Fn() -> String) {
    let end = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < end, "not within {limit:?}: {}", state());
        std::thread::sleep(Duration::from_millis(5));
    }
}
