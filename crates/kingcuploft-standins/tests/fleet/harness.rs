//! Several daemons in this process with fast heartbeats, and a platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::manifest::reader;
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};
use kingcuploft_standins::platform::Platform;
use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::Settings;
use tokio::runtime::Runtime;

/// How long anything may take that has to be in force everywhere.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(5);

pub(crate) struct Bench {
    pub(crate) platform: Platform,
    pub(crate) daemons: Vec<Daemon>,
    _runtime: Runtime,
    started: usize,
}

impl Bench {
    /// Starts a platform and daemons that stand in two zones by turns.
    pub(crate) fn start(daemons: usize) -> Self {
        let runtime = Runtime::new().unwrap();
        let mut bench = Self {
            platform: Platform::start(&runtime).unwrap(),
            daemons: Vec::new(),
            _runtime: runtime,
            started: 0,
        };
        for _ in 0..daemons {
            bench.add();
        }
        bench
    }

    /// Starts one more daemon that knows the others' addresses as first peers.
    pub(crate) fn add(&mut self) -> usize {
        let peers: Vec<String> = self
            .peers()
            .iter()
            .map(|peer| format!("'{peer}'"))
            .collect();
        self.add_with(&format!("peers: [{}]", peers.join(", ")))
    }

    /// Starts one more daemon with more lines for its peer settings, in flow style.
    pub(crate) fn add_with(&mut self, peer: &str) -> usize {
        let index = self.started;
        let zone = ["a", "b"][index % 2];
        let daemon = start_daemon(&format!("entry-{index}"), zone, &self.platform, peer);
        self.started += 1;
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.filter_map(Daemon::peer_address).collect()
    }

    pub(crate) fn client(&self) -> Client {
        let settings = ClientSettings {
            failures_to_open: 1000,
            ..ClientSettings::default()
        };
        Client::with_settings(&self.platform.address().to_string(), settings, 1)
    }

    /// Applies a manifest of services, each with a deadline that tells its content.
    pub(crate) fn apply(&self, services: &[(&str, u64)]) -> u64 {
        let manifest = reader::read("test", &text(services)).unwrap();
        let id = format!("{services:?}");
        match manifest_root::apply(&self.client(), manifest, &id).unwrap() {
            ApplyOutcome::Accepted(generation) => generation,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn generations(&self) -> Vec<u64> {
        self.daemons.iter().map(generation).collect()
    }

    /// Waits until every daemon has this generation in force.
    pub(crate) fn in_force(&self, generation: u64) {
        let all = |bench: &Self| bench.generations().iter().all(|g| *g == generation);
        until(
            IN_FORCE,
            || all(self),
            || format!("{:?}", self.generations()),
        );
    }

    pub(crate) fn links(&self) -> Vec<i64> {
        let daemons = self.daemons.iter();
        let links = daemons.map(|d| d.shared().metrics.fleet.peer_links.get());
        links.collect()
    }

    /// Waits until every daemon sees so many live members, itself included.
    pub(crate) fn live(&self, count: usize) {
        let live = || self.daemons.iter().map(live_members).collect::<Vec<_>>();
        until(
            IN_FORCE,
            || live().iter().all(|n| *n == count),
            || format!("{:?}", live()),
        );
    }

    pub(crate) fn stop(self) {
        std::thread::scope(|scope| {
            for daemon in self.daemons {
                scope.spawn(|| daemon.stop());
            }
        });
    }
}

pub(crate) fn start_daemon(name: &str, zone: &str, platform: &Platform, peer: &str) -> Daemon {
    let text = format!(
        "{{vm: {name}, availability_zone: {zone}, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '{}', limits: {{workers: 1}}, store: {{call_timeout_ms: 300, failures_to_open: 1000}}, peer: {{listen: '127.0.0.1:0', membership: {{beat_ms: 100, suspect_ms: 500, gone_ms: 1000, forget_ms: 2000}}, {peer}}}}}",
        platform.address(),
    );
    let settings: Settings = serde_saphyr::from_str(&text).unwrap();
    Daemon::start(settings).unwrap()
}

pub(crate) fn text(services: &[(&str, u64)]) -> String {
    let mut text = String::from("services:\n");
    for (i, (name, deadline_ms)) in services.iter().enumerate() {
        text += &format!(
            "  - {{name: {name}, hosts: [{name}.example], backend_servers: [{{name: {name}-1, address: '127.0.0.1:{}', availability_zone: a, slots: 2, connections: 220}}], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}\n",
            i + 1
        );
    }
    text
}

pub(crate) fn generation(daemon: &Daemon) -> u64 {
    daemon.shared().accepted.load().generation
}

pub(crate) fn live_members(daemon: &Daemon) -> usize {
    use kingcuploft::decisions::membership::MemberState;
    let members = daemon.shared().fleet.members();
    members
        .iter()
        .filter(|m| m.state == MemberState::Live)
        .count()
}

/// Waits until something holds.
pub(crate) fn until(most: Duration, mut holds: impl FnMut() -> bool, told: impl Fn() -> String) {
    let end = Instant::now() + most;
    while !holds() {
        assert!(Instant::now() < end, "not within {most:?}: {}", told());
        std::thread::sleep(Duration::from_millis(5));
    }
}
