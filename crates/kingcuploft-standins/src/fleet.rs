//! A running deployment on loopback: a stand-in platform, stand-in backend servers, and real daemons in this process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::manifest::reader;
use kingcuploft_platform::client::Client;
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};
use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::Settings;
use tokio::runtime::Runtime;

use crate::backend_server::{BackendServer, Work};
use crate::deployment::{Deployment, ServicePlan};
use crate::platform::Platform;

/// How long the fleet may take until a manifest is in force on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a fleet did not start or did not adopt a manifest.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A stand-in could not bind a port.
    #[error("a stand-in got no port: {0}")]
    Port(#[from] std::io::Error),
    /// A daemon did not start.
    #[error("a daemon did not start: {0}")]
    Start(#[from] kingcuploftd::daemon::StartError),
    /// The settings or the manifest built from the plan are invalid.
    #[error("the plan is wrong: {0}")]
    Plan(String),
    /// A manifest was not accepted, or not in force in time.
    #[error("the manifest is not in force: {0}")]
    NotInForce(String),
}

/// The options in which fleets of the same deployment differ.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The policy of every service, as YAML in flow style.
    pub policy: String,
    /// The mean work time of the backend servers.
    pub mean_work_time: Duration,
    /// The one-way delay of the links to the backend servers.
    pub link_delay: Duration,
    /// YAML lines that are added to every daemon's settings.
    pub extra_settings: String,
    /// The seed of the work times.
    pub seed: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            policy: "{}".into(),
            mean_work_time: Duration::from_millis(10),
            link_delay: Duration::ZERO,
            extra_settings: String::new(),
            seed: 1,
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The plan that it was started from.
    pub deployment: Deployment,
    /// The platform.
    pub platform: Platform,
    /// The backend servers of each service, in the plan's order.
    pub backend_servers: Vec<Vec<BackendServer>>,
    /// The running daemons.
    pub daemons: Vec<Daemon>,
    /// The async runtime of the stand-ins and callers.
    pub runtime: Arc<Runtime>,
    options: FleetOptions,
    daemons_started: usize,
}

impl Fleet {
    /// Starts a deployment and waits until its manifest is in force on every daemon.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if a part did not start or the manifest was not in force in time; the started parts are stopped.
    pub fn start(deployment: Deployment, options: FleetOptions) -> Result<Self, FleetError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        let runtime = Arc::new(runtime);
        let platform = Platform::start(&runtime)?;
        let mut backend_servers = Vec::new();
        for plan in &deployment.services {
            backend_servers.push(start_backend_servers(&runtime, plan, &options)?);
        }
        let mut fleet = Self {
            deployment,
            platform,
            backend_servers,
            daemons: Vec::new(),
            runtime,
            options,
            daemons_started: 0,
        };
        let generation = fleet.apply(&fleet.manifest(), "start")?;
        for _ in 0..fleet.deployment.vms {
            fleet.add_daemon()?;
        }
        fleet.wait_in_force(generation)?;
        Ok(fleet)
    }

    /// Starts one daemon in front of one backend server with 64 slots, so that calls do not wait for a slot.
    ///
    /// # Errors
    ///
    /// The errors of [`Fleet::start`].
    pub fn start_single(
        name: &'static str,
        rules: &'static [&'static str],
        seed: u64,
    ) -> Result<Self, FleetError> {
        let deployment = Deployment {
            name,
            vms: 1,
            availability_zones: &["a"],
            services: vec![ServicePlan {
                name: "trip",
                backend_servers: 1,
                slots: 64,
                rules,
            }],
        };
        let options = FleetOptions {
            extra_settings: "limits: {vms: 1}\n".into(),
            seed,
            ..FleetOptions::default()
        };
        Self::start(deployment, options)
    }

    /// Starts one more daemon with a new VM name.
    ///
    /// # Errors
    ///
    /// [`FleetError::Start`] if the daemon did not start, [`FleetError::Plan`] if its settings are invalid.
    pub fn add_daemon(&mut self) -> Result<(), FleetError> {
        let index = self.daemons_started;
        let peers = self.daemons.iter().filter_map(Daemon::peer_address);
        let peers: Vec<String> = peers.map(|address| format!("'{address}'")).collect();
        let text = format!(
            "vm: entry-{index}\navailability_zone: {}\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\nplatform: {}\npeer: {{listen: 127.0.0.1:0, peers: [{}]}}\n{}",
            self.deployment.zone(index),
            self.platform.address(),
            peers.join(", "),
            self.options.extra_settings,
        );
        let settings: Settings =
            serde_saphyr::from_str(&text).map_err(|error| FleetError::Plan(error.to_string()))?;
        self.daemons_started += 1;
        self.daemons.push(Daemon::start(settings)?);
        Ok(())
    }

    /// Returns the manifest of the plan, as YAML.
    pub fn manifest(&self) -> String {
        let mut text = String::from("services:\n");
        for (plan, servers) in self.deployment.services.iter().zip(&self.backend_servers) {
            self.write_service(&mut text, plan, servers);
        }
        text
    }

    fn write_service(&self, text: &mut String, plan: &ServicePlan, servers: &[BackendServer]) {
        let name = plan.name;
        let policy = &self.options.policy;
        let mut line = |line: std::fmt::Arguments<'_>| {
            text.write_fmt(line).expect("a string takes all");
            text.push('\n');
        };
        line(format_args!("  - name: {name}"));
        line(format_args!("    hosts: [{name}.example]"));
        line(format_args!("    caller_header: x-caller"));
        line(format_args!("    policy: {policy}"));
        line(format_args!("    backend_servers:"));
        for (i, server) in servers.iter().enumerate() {
            let (address, zone, slots) = (server.address(), self.deployment.zone(i), plan.slots);
            line(format_args!(
                "      - {{name: {name}-{i}, address: '{address}', availability_zone: {zone}, slots: {slots}, connections: 220}}"
            ));
        }
        line(format_args!("    rules:"));
        for rule in plan.rules {
            line(format_args!("      - {rule}"));
        }
    }

    /// Applies a manifest and returns its generation.
    ///
    /// # Errors
    ///
    /// [`FleetError::Plan`] if it is invalid, [`FleetError::NotInForce`] if it was not accepted.
    pub fn apply(&self, text: &str, apply_id: &str) -> Result<u64, FleetError> {
        let manifest =
            reader::read("plan", text).map_err(|faults| FleetError::Plan(format!("{faults:?}")))?;
        let client = Client::new(&self.platform.address().to_string());
        match manifest_root::apply(&client, manifest, apply_id) {
            Ok(ApplyOutcome::Accepted(generation)) => Ok(generation),
            other => Err(FleetError::NotInForce(format!("{other:?}"))),
        }
    }

    /// Waits until every daemon has at least this generation in force; returns how long it took.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotInForce`] after 20 s.
    pub fn wait_in_force(&self, generation: u64) -> Result<Duration, FleetError> {
        let began = Instant::now();
        let is_behind = |daemon: &Daemon| daemon.shared().accepted.load().generation < generation;
        while self.daemons.iter().any(is_behind) {
            if began.elapsed() > IN_FORCE_TIMEOUT {
                let count = self
                    .daemons
                    .iter()
                    .filter(|daemon| is_behind(daemon))
                    .count();
                return Err(FleetError::NotInForce(format!(
                    "{count} daemons are behind"
                )));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(began.elapsed())
    }

    /// Returns the addresses where callers connect, one for each daemon.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::address).collect()
    }

    /// Returns how often the request with this idempotency key was executed, over all backend servers.
    pub fn runs(&self, key: &str) -> u64 {
        let servers = self.backend_servers.iter().flatten();
        servers.map(|server| server.runs(key)).sum()
    }

    /// Shuts all daemons down gracefully and concurrently.
    pub fn stop(self) {
        std::thread::scope(|scope| {
            for daemon in self.daemons {
                scope.spawn(|| daemon.stop());
            }
        });
    }
}

fn start_backend_servers(
    runtime: &Runtime,
    plan: &ServicePlan,
    options: &FleetOptions,
) -> Result<Vec<BackendServer>, FleetError> {
    let mut servers = Vec::new();
    for i in 0..plan.backend_servers {
        let work = Work {
            slots: plan.slots as usize,
            mean: options.mean_work_time,
            link_delay: options.link_delay,
            seed: options.seed.wrapping_mul(1_000).wrapping_add(i as u64),
            ..Work::default()
        };
        servers.push(BackendServer::start(runtime, work)?);
    }
    Ok(servers)
}
