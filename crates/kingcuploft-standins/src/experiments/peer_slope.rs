//! `peer_slope`: the bytes, time and CPU that the peer links cost a node as the fleet grows.
//!
//! Many light nodes run in one process. Each runs the real peer links, membership and manifest adoption, and nothing
//! else.

use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kingcuploft::decisions::membership::MemberState;
use kingcuploft::manifest::root::{Root, ServiceObject, ServiceRef};
use kingcuploft::manifest::{Manifest, reader};
use kingcuploft::world::vm::Vm;
use kingcuploftd::message::Message;
use kingcuploftd::peer_link::{self, Keys};
use kingcuploftd::settings::Settings;
use kingcuploftd::shared::Shared;
use serde::Serialize;

use super::{ExperimentError, Options, Report};

/// The fleet sizes that are measured, in nodes.
const FLEET_SIZES: [usize; 3] = [14, 50, 200];

/// The number of services in the manifest: the size that the users expect in two years.
const SERVICE_COUNT: usize = 740;

/// The number of backend servers of each service.
const SERVERS_PER_SERVICE: usize = 13;

/// How many manifest changes, each of one service, are sent through the fleet.
const CHANGE_COUNT: u64 = 5;

/// The rate of configuration changes that the users expect in two years: 17,000 a day.
const CHANGES_PER_S: f64 = 17_000.0 / 86_400.0;

/// How long the fleet may take to meet each awaited condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(180);

/// The bandwidth that an idle node may use for control messages, in bytes per second.
const MAX_IDLE_BYTES_PER_S: f64 = 2048.0;

/// The figures of one fleet size.
#[derive(Clone, Debug, Serialize)]
struct Row {
    nodes: usize,
    links_per_node: f64,
    known_after_s: f64,
    idle_bytes_per_s: f64,
    idle_bytes_per_s_max: f64,
    change_bytes: f64,
    bytes_per_s_with_changes: f64,
    in_force_ms_max: f64,
    cpu_share_per_node: f64,
}

/// A node without callers, backend servers and store: only its peer links run.
struct LightNode {
    shared: Arc<Shared>,
    address: SocketAddr,
    peer_task: JoinHandle<()>,
    message_sink: JoinHandle<()>,
}

impl LightNode {
    fn start(index: usize, seeds: &[SocketAddr]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (name, zone) = (format!("entry-{index}"), format!("zone-{}", index % 4));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
        let text = format!(
            "{{vm: {name}, availability_zone: {zone}, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '127.0.0.1:1', peer: {{listen: '{address}', peers: [{}]}}}}",
            seeds.join(", ")
        );
        let settings: Settings = serde_saphyr::from_str(&text).map_err(std::io::Error::other)?;
        let vm = Vm {
            name: name.into(),
            availability_zone: zone.into(),
            incarnation: 1,
        };
        let (dispatch, messages) = crossbeam_channel::bounded(64);
        let shared = Shared::new(settings, vm, dispatch);
        shared.fleet.membership().set_address(address);
        // No store will answer, so the node must not wait for one before it adopts a peer's manifest.
        shared
            .manifest
            .update(&shared, "the experiment", |adoption| {
                Ok(adoption.sources_asked())
            });
        let keys = Keys::read(&shared.settings.peer).map_err(std::io::Error::other)?;
        let context = Arc::clone(&shared);
        let peers = std::thread::spawn(move || peer_link::run(&context, listener, keys));
        let context = Arc::clone(&shared);
        let sink = std::thread::spawn(move || {
            while !context.ended() {
                let message = messages.recv_timeout(Duration::from_millis(200));
                drop::<Result<Message, _>>(message);
            }
        });
        Ok(Self {
            shared,
            address,
            peer_task: peers,
            message_sink: sink,
        })
    }

    fn live_members(&self) -> usize {
        let members = self.shared.fleet.members();
        members
            .iter()
            .filter(|m| m.state == MemberState::Live)
            .count()
    }

    fn peer_bytes(&self) -> u64 {
        self.shared.metrics.fleet.all_peer_bytes()
    }

    fn generation(&self) -> u64 {
        self.shared.accepted.load().generation
    }

    /// Hands this node a manifest as if it had read it from the store.
    fn adopt_manifest(&self, root: &Root, objects: &[ServiceObject]) {
        let manifest_state = &self.shared.manifest;
        manifest_state.update(&self.shared, "the experiment", |adoption| {
            adoption.root_text(&root.text())
        });
        for object in objects {
            manifest_state.update(&self.shared, "the experiment", |adoption| {
                adoption.service_text(&object.hash, &object.text)
            });
        }
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// None: a fleet size that cannot be measured is reported as a violation.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let (mut rows, mut failed) = (Vec::new(), Vec::new());
    for size in FLEET_SIZES {
        match measure(size, options.duration) {
            Ok(row) => rows.push(row),
            Err(error) => failed.push(error.to_string()),
        }
    }
    let broken = rows
        .iter()
        .filter(|row| row.idle_bytes_per_s_max > MAX_IDLE_BYTES_PER_S);
    let broken = broken.map(|row| {
        let (nodes, bytes) = (row.nodes, row.idle_bytes_per_s_max);
        format!("a node of {nodes} spends {bytes:.0} bytes a second")
    });
    Ok(Report {
        violations: broken.chain(failed).collect(),
        text: table(&rows),
        figures: serde_json::json!({
            "seed": options.seed, "services": SERVICE_COUNT, "rows": rows,
        }),
    })
}

fn measure(size: usize, time: Duration) -> Result<Row, ExperimentError> {
    let began = Instant::now();
    let mut nodes: Vec<LightNode> = Vec::new();
    for index in 0..size {
        let seeds: Vec<SocketAddr> = nodes.iter().take(3).map(|node| node.address).collect();
        nodes.push(LightNode::start(index, &seeds)?);
    }
    wait_until(size, "members", || {
        nodes.iter().all(|node| node.live_members() == size)
    })?;
    let known_after_s = began.elapsed().as_secs_f64();
    // Distributes a first manifest in full, then waits until no gossip is queued.
    let mut objects = services(0);
    nodes[0].adopt_manifest(&root(1, &objects), &objects);
    wait_until(size, "a manifest", || {
        nodes.iter().all(|node| node.generation() == 1)
    })?;
    wait_until(size, "quiet", || {
        nodes
            .iter()
            .all(|n| n.shared.fleet.membership().is_gossip_empty())
    })?;
    let (idle, cpu) = measure_bytes(&nodes, || std::thread::sleep(time));
    let seconds = time.as_secs_f64();
    let mut in_force_ms_max: f64 = 0.0;
    let mut change_bytes = 0.0;
    for change in 1..=CHANGE_COUNT {
        let generation = change + 1;
        objects[7] = services(change).swap_remove(7);
        let root = root(generation, &objects);
        let settle = Duration::from_millis(500);
        let mut took = Duration::ZERO;
        let mut wait_result = Ok(());
        let (bytes, _) = measure_bytes(&nodes, || {
            let began = Instant::now();
            nodes[0].adopt_manifest(&root, std::slice::from_ref(&objects[7]));
            wait_result = wait_until(size, "a change", || {
                nodes.iter().all(|n| n.generation() == generation)
            });
            took = began.elapsed();
            std::thread::sleep(settle);
        });
        wait_result?;
        in_force_ms_max = in_force_ms_max.max(took.as_secs_f64() * 1000.0);
        let idle_part = mean(&idle) / seconds * (took + settle).as_secs_f64();
        change_bytes += (mean(&bytes) - idle_part) / CHANGE_COUNT as f64;
    }
    let links = nodes
        .iter()
        .map(|n| n.shared.metrics.fleet.peer_links.get() as f64);
    let links_per_node = links.sum::<f64>() / size as f64;
    let idle_bytes_per_s = mean(&idle) / seconds;
    let row = Row {
        nodes: size,
        links_per_node,
        known_after_s,
        idle_bytes_per_s,
        idle_bytes_per_s_max: idle.iter().copied().fold(0.0, f64::max) / seconds,
        change_bytes,
        bytes_per_s_with_changes: idle_bytes_per_s + change_bytes * CHANGES_PER_S,
        in_force_ms_max,
        cpu_share_per_node: cpu / seconds / size as f64,
    };
    nodes.iter().for_each(|node| node.shared.end());
    for node in nodes {
        drop(node.peer_task.join());
        drop(node.message_sink.join());
    }
    Ok(row)
}

/// Runs a function and returns the peer bytes that each node used meanwhile and the process's CPU time, in s.
fn measure_bytes(nodes: &[LightNode], run: impl FnOnce()) -> (Vec<f64>, f64) {
    let before: Vec<u64> = nodes.iter().map(LightNode::peer_bytes).collect();
    let cpu = process_cpu_s();
    run();
    let cpu = process_cpu_s() - cpu;
    let after = nodes.iter().map(LightNode::peer_bytes);
    let bytes = after
        .zip(before)
        .map(|(after, before)| (after - before) as f64);
    (bytes.collect(), cpu)
}

/// Returns the CPU time of this process, in s; 0 if `/proc` is not available.
fn process_cpu_s() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_S
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn wait_until(nodes: usize, what: &str, holds: impl Fn() -> bool) -> Result<(), ExperimentError> {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !holds() {
        if Instant::now() > end {
            let why = format!("{nodes} nodes: {what}: not within {CONDITION_TIMEOUT:?}");
            return Err(std::io::Error::other(why).into());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Returns the service objects of a manifest; `change` alters the deadline in its rules.
fn services(change: u64) -> Vec<ServiceObject> {
    let mut text = String::from("services:\n");
    for i in 0..SERVICE_COUNT {
        let servers = (0..SERVERS_PER_SERVICE).map(|j| {
            format!("{{name: s-{j}, address: '10.{}.{}.{j}:80', availability_zone: zone-{}, slots: 4, connections: 220}}", i / 250, i % 250, j % 4)
        });
        let servers: Vec<String> = servers.collect();
        text += &format!(
            "  - {{name: service-{i}, hosts: [service-{i}.example], backend_servers: [{}], rules: [{{name: lookup, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {}}}]}}\n",
            servers.join(", "),
            1000 + change
        );
    }
    let manifest: Manifest = reader::read("experiment", &text).unwrap_or_default();
    kingcuploft::manifest::root::service_objects(&manifest)
}

fn root(generation: u64, objects: &[ServiceObject]) -> Root {
    let services = objects.iter().map(|object| ServiceRef {
        name: object.name.clone(),
        hash: object.hash.clone(),
    });
    Root {
        generation,
        apply_id: format!("change-{generation}"),
        services: services.collect(),
        ..Root::default()
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "nodes  links  known s  idle B/s  (max)  B/change  B/s at 17,000 a day  in force ms  cpu share\n",
    );
    for row in rows {
        let line = writeln!(
            text,
            "{:>5} {:>6.1} {:>8.1} {:>9.0} {:>6.0} {:>9.0} {:>20.0} {:>12.0} {:>10.5}",
            row.nodes,
            row.links_per_node,
            row.known_after_s,
            row.idle_bytes_per_s,
            row.idle_bytes_per_s_max,
            row.change_bytes,
            row.bytes_per_s_with_changes,
            row.in_force_ms_max,
            row.cpu_share_per_node,
        );
        line.expect("a string takes all");
    }
    text
}
