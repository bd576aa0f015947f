//! What a VM that joins is sent, frame by frame.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::change_assembly::AssemblyProgress;
use kingcuploft::entry::configuration_change::ConfigurationChange;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::workspaces::{Workspace, Workspaces};
use kingcuploft_entry::clock;
use kingcuploft_entry::peers::dial::Dial;
use kingcuploft_entry::peers::feeder;
use kingcuploft_entry::peers::follower;
use kingcuploft_entry::peers::frame::{
    FIRST_VERSION_WITH_RETURNS, FIRST_VERSION_WITH_SERVERS_GONE, FIRST_VERSION_WITH_WORKSPACES,
    Frame, Hello, PROTOCOL_VERSION, SyncStatus,
};
use kingcuploft_entry::peers::lines::Lines;
use kingcuploft_entry::store::Collection;
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};

use crate::configurations::configuration;
use crate::fleet::{Fleet, Links, simulate};
use crate::network::{Host, address};
use crate::pipe::{self, LinkEnd, Nic};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// How long a VM's frames are read.
const LISTEN_TIME: Duration = Duration::from_millis(600);

/// A peer whose frames the test writes and reads.
struct ScriptedPeer {
    lines: Lines<ReadHalf<LinkEnd>>,
    write: WriteHalf<LinkEnd>,
}

impl ScriptedPeer {
    fn of(link: LinkEnd) -> Self {
        let (read, write) = tokio::io::split(link);
        Self {
            lines: Lines::new(read),
            write,
        }
    }

    /// Opens a link to a VM.
    fn join(host: &Rc<Host>) -> Self {
        let nic = Rc::new(Nic::of(200));
        let (own, other) = pipe::connect(&nic, &host.nic, Duration::ZERO);
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let _ = feeder::handle_connection(&host.context, &host.store_access, other).await;
        });
        Self::of(own)
    }

    async fn send(&mut self, frame: &Frame) {
        self.write.write_all(&frame.to_line()).await.unwrap();
    }

    /// Returns the frames that arrive within [`LISTEN_TIME`].
    async fn frames(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        let until = tokio::time::Instant::now() + LISTEN_TIME;
        while let Ok(Ok(Some(line))) =
            tokio::time::timeout_at(until, self.lines.next(LISTEN_TIME)).await
        {
            frames.push(serde_json::from_slice(line).unwrap());
        }
        frames
    }
}

fn entry(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: "zone-0".into(),
        address: address(99),
        cpu_milli: 100,
    }
}

/// Returns the opening frame of a VM that has replicated as much as this one.
fn hello_like(host: &Host) -> Hello {
    Hello {
        vm: entry("joins"),
        configuration: host.context.position(Collection::Configuration),
        servers: host.context.position(Collection::BackendServers),
        evacuations: host.context.position(Collection::Evacuations),
        descendants: 0,
        version: host.context.active_configuration.version(),
        arrived: None,
        servers_digest: Some(host.context.with_servers(|servers| servers.digest())),
        protocol_version: PROTOCOL_VERSION,
    }
}

async fn fleet_of_two() -> (Fleet, Rc<Host>) {
    let fleet = Fleet::start(&[2], LINKS, 20, 1).await;
    let feeds = |at: &usize| {
        !fleet
            .network
            .host(*at)
            .unwrap()
            .context
            .followers
            .is_empty()
    };
    let follower = usize::from(feeds(&0));
    let host = fleet.network.host(follower).unwrap();
    (fleet, host)
}

fn parts(frames: &[Frame]) -> Vec<(Option<u64>, u64, u32)> {
    let parts = frames.iter().filter_map(|frame| match frame {
        Frame::Part(part) => Some((part.from, part.to, part.at)),
        _ => None,
    });
    parts.collect()
}

/// Guards against a VM that joins a feeder between a change and its revision, and never gets the change.
#[test]
fn a_vm_that_joins_between_a_change_and_its_revision_is_sent_the_change() {
    simulate(async {
        let (fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        let newer = configuration(2, &fleet.routes[1..]);
        host.context.active_configuration.adopt(newer);
        let position = host.context.position(Collection::Configuration);
        assert_eq!(hello.configuration, position);
        let mut joining = ScriptedPeer::join(&host);
        joining.send(&Frame::Hello(hello)).await;
        assert_eq!(parts(&joining.frames().await), [(Some(1), 2, 0)]);
    });
}

/// Guards against a list of all servers that is sent to a VM that knows them already.
#[test]
fn a_vm_that_knows_the_servers_is_not_sent_them_again() {
    simulate(async {
        let (_fleet, host) = fleet_of_two().await;
        let has_all_servers = |frame: &Frame| matches!(frame, Frame::AllServers(_));
        let hello = hello_like(&host);
        let mut joining = ScriptedPeer::join(&host);
        joining.send(&Frame::Hello(hello.clone())).await;
        assert!(!joining.frames().await.iter().any(has_all_servers));
        let mut other = ScriptedPeer::join(&host);
        let hello = Hello {
            vm: entry("knows others"),
            servers_digest: hello.servers_digest.map(|digest| digest + 1),
            ..hello
        };
        other.send(&Frame::Hello(hello)).await;
        assert!(other.frames().await.iter().any(has_all_servers));
    });
}

/// Guards against a transfer that begins anew each time its link breaks.
#[test]
fn a_transfer_that_was_broken_off_goes_on_where_it_stopped() {
    simulate(async {
        let (mut fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        fleet.add_routes(1400);
        fleet.wait_until_in_force(LISTEN_TIME).await;
        let mut joining = ScriptedPeer::join(&host);
        let arrived = AssemblyProgress {
            from: Some(1),
            to: 2,
            parts: 4,
        };
        let hello = Hello {
            arrived: Some(arrived),
            ..hello
        };
        joining.send(&Frame::Hello(hello)).await;
        let rest = [(Some(1), 2, 4), (Some(1), 2, 5)];
        assert_eq!(parts(&joining.frames().await), rest);
    });
}

/// Guards against frames that a VM of the previous release can't decode, while a fleet is replaced VM by VM.
#[test]
fn a_vm_of_the_release_before_gets_frames_that_it_understands() {
    simulate(async {
        let (mut fleet, host) = fleet_of_two().await;
        let position = host.context.position(Collection::Configuration);
        let vm = serde_json::to_string(&entry("before")).unwrap();
        let hello = format!(
            r#"{{"Hello":{{"vm":{vm},"configuration":{},"servers":null,"below":0}}}}"#,
            position.unwrap()
        );
        let mut joining = ScriptedPeer::join(&host);
        joining.write.write_all(hello.as_bytes()).await.unwrap();
        joining.write.write_all(b"\n").await.unwrap();
        let mut frames = joining.frames().await;
        fleet.change_one_route();
        frames.extend(joining.frames().await);
        let versions = frames.iter().filter_map(|frame| match frame {
            Frame::Configuration(configuration) => Some(configuration.version),
            Frame::NewerVersion(_) | Frame::Part(_) | Frame::Alive => panic!("{frame:?}"),
            _ => None,
        });
        assert_eq!(versions.collect::<Vec<_>>(), [1, 2]);
    });
}

/// Guards against a VM of an earlier release that is told of routes but not of keys, lets everybody in and passes keys to
/// servers; and against one of this release that is told neither.
#[test]
fn a_vm_that_knows_no_workspaces_is_told_no_configuration_that_has_them() {
    simulate(async {
        let (fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        let north = Workspace::new("north", &["k3y"], None, 0.0, 0.0).unwrap();
        let workspaces = Workspaces::new(vec![north]).unwrap();
        let newer = configuration(2, &fleet.routes).with_workspaces(Some(workspaces));
        host.context.active_configuration.adopt(newer);
        let mut versions = Vec::new();
        for protocol_version in [FIRST_VERSION_WITH_WORKSPACES - 1, PROTOCOL_VERSION] {
            let mut joining = ScriptedPeer::join(&host);
            let hello = Hello {
                vm: entry(&format!("speaks {protocol_version}")),
                protocol_version,
                ..hello.clone()
            };
            joining.send(&Frame::Hello(hello)).await;
            versions.push(parts(&joining.frames().await));
        }
        assert_eq!(versions, [vec![], vec![(Some(1), 2, 0)]]);
    });
}

/// Guards against a VM of an earlier release that ends its link at a frame that it does not know, or goes on using servers
/// that have left.
#[test]
fn a_vm_of_the_release_before_is_told_one_by_one_which_servers_have_left() {
    simulate(async {
        let (_fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        let mut told = Vec::new();
        for protocol_version in [FIRST_VERSION_WITH_SERVERS_GONE - 1, PROTOCOL_VERSION] {
            let mut joining = ScriptedPeer::join(&host);
            let hello = Hello {
                vm: entry(&format!("speaks {protocol_version}")),
                protocol_version,
                ..hello.clone()
            };
            joining.send(&Frame::Hello(hello)).await;
            joining.frames().await;
            host.context
                .followers
                .send_servers_gone(&["a".into(), "b".into()]);
            told.push(gone(&joining.frames().await));
        }
        assert_eq!(told, [vec![vec!["a"], vec!["b"]], vec![vec!["a", "b"]]]);
    });
}

/// Guards against a VM of an earlier release that ends its link at a frame that it does not know, and against one of this
/// release that starts the grace period of expired entries over.
#[test]
fn a_vm_of_the_release_before_is_told_that_the_store_is_back_and_not_since_when() {
    simulate(async {
        let (_fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        let now = clock::now();
        host.context
            .with_servers(|servers| servers.store_returned(now, now));
        let mut told = Vec::new();
        for protocol_version in [FIRST_VERSION_WITH_RETURNS - 1, PROTOCOL_VERSION] {
            let mut joining = ScriptedPeer::join(&host);
            let hello = Hello {
                vm: entry(&format!("speaks {protocol_version}")),
                protocol_version,
                ..hello.clone()
            };
            joining.send(&Frame::Hello(hello)).await;
            let in_snapshot = returns(&joining.frames().await);
            host.context.followers.send_store_return(Duration::ZERO);
            told.push((in_snapshot, returns(&joining.frames().await)));
        }
        assert_eq!(told, [(vec![], vec!["now"]), (vec!["ago"], vec!["ago"])]);
    });
}

fn returns(frames: &[Frame]) -> Vec<&'static str> {
    let returns = frames.iter().filter_map(|frame| match frame {
        Frame::StoreReturned => Some("now"),
        Frame::StoreReturnedAgo(_) => Some("ago"),
        _ => None,
    });
    returns.collect()
}

/// Guards against a VM that joins and needs several times the memory of the table of all servers to read it, and against
/// one that knew some servers and goes on using those that have left meanwhile.
#[test]
fn a_vm_that_knows_no_server_is_told_all_in_parts() {
    simulate(async {
        let (fleet, host) = fleet_of_two().await;
        for at in 0..1_200 {
            let name = format!("s{at}");
            fleet
                .store
                .0
                .write_backend_server(crate::fleet::server(&name));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let known_none = Hello {
            servers: None,
            servers_digest: Some(0),
            ..hello_like(&host)
        };
        let before = Hello {
            protocol_version: FIRST_VERSION_WITH_SERVERS_GONE - 1,
            ..known_none.clone()
        };
        let knew_some = Hello {
            servers_digest: Some(1),
            ..known_none.clone()
        };
        let mut told = Vec::new();
        for hello in [known_none, before, knew_some] {
            let mut joining = ScriptedPeer::join(&host);
            joining.send(&Frame::Hello(hello)).await;
            told.push(server_frames(&joining.frames().await));
        }
        let whole = vec![("AllServers", 1_200)];
        let parts = vec![
            ("Servers", 500),
            ("Servers", 500),
            ("Servers", 200),
            ("ServersListed", 0),
        ];
        assert_eq!(told, [parts, whole.clone(), whole]);
    });
}

/// Returns the frames that tell of servers, with the number of servers in each.
fn server_frames(frames: &[Frame]) -> Vec<(&'static str, usize)> {
    let count = |table: &ServerTable| table.clone().servers().map_or(0, |servers| servers.len());
    let of_servers = frames.iter().filter_map(|frame| match frame {
        Frame::Servers(table) => Some(("Servers", count(table))),
        Frame::AllServers(table) => Some(("AllServers", count(table))),
        Frame::ServersListed => Some(("ServersListed", 0)),
        _ => None,
    });
    of_servers.collect()
}

/// Returns the names in each frame that tells of servers that have left.
fn gone(frames: &[Frame]) -> Vec<Vec<String>> {
    let names = frames.iter().filter_map(|frame| match frame {
        Frame::ServerGone(name) => Some(vec![name.to_string()]),
        Frame::ServersGone(names) => Some(names.iter().map(|name| name.to_string()).collect()),
        _ => None,
    });
    names.collect()
}

/// Guards against a VM that takes a configuration from one of an earlier release, which leaves its workspaces out.
#[test]
fn a_vm_does_not_follow_one_that_knows_no_workspaces() {
    simulate(async {
        let (_fleet, host) = fleet_of_two().await;
        let (mut feeder, following) = follow_script(&host);
        read_hello(&mut feeder).await;
        let Frame::Status(status) = status_like(&host) else {
            unreachable!("it is a status");
        };
        let before = SyncStatus {
            knows_workspaces: false,
            ..status
        };
        feeder.send(&Frame::Status(before)).await;
        assert_eq!(following.await.unwrap(), "behind");
    });
}

/// A network in which every VM is a peer scripted by the test.
struct ScriptedNetwork(std::cell::RefCell<Vec<LinkEnd>>);

impl Dial for ScriptedNetwork {
    type Link = LinkEnd;

    async fn dial(&self, _: SocketAddr) -> std::io::Result<LinkEnd> {
        let next = self.0.borrow_mut().pop();
        next.ok_or_else(|| std::io::ErrorKind::ConnectionRefused.into())
    }
}

/// Follows a scripted peer as a VM that knows what `host` does; returns the peer and the VM's task.
fn follow_script(host: &Rc<Host>) -> (ScriptedPeer, tokio::task::JoinHandle<String>) {
    let nic = Rc::new(Nic::of(200));
    let (own, other) = pipe::connect(&nic, &nic, Duration::ZERO);
    let network = ScriptedNetwork(vec![own].into());
    let host = host.clone();
    let following = tokio::task::spawn_local(async move {
        let (own, feeder) = (entry("follows"), entry("script"));
        let ended =
            follower::follow(&host.context, &host.store_access, &own, &feeder, &network).await;
        ended.why.label().to_owned()
    });
    (ScriptedPeer::of(other), following)
}

async fn read_hello(script: &mut ScriptedPeer) -> Hello {
    let line = script.lines.next(LISTEN_TIME).await.unwrap().unwrap();
    match serde_json::from_slice(line).unwrap() {
        Frame::Hello(hello) => hello,
        frame => panic!("{frame:?}"),
    }
}

fn status_like(host: &Host) -> Frame {
    Frame::Status(SyncStatus {
        knows_workspaces: true,
        configuration: host.context.position(Collection::Configuration),
        servers: host.context.position(Collection::BackendServers),
        evacuations: host.context.position(Collection::Evacuations),
        store_reachable: true,
        path: vec!["script".into()],
    })
}

/// Guards against a VM that does not understand a feeder of the previous release.
#[test]
fn a_whole_configuration_from_a_vm_of_the_release_before_is_put_in_force() {
    simulate(async {
        let (fleet, host) = fleet_of_two().await;
        let (mut feeder, _following) = follow_script(&host);
        read_hello(&mut feeder).await;
        feeder.send(&status_like(&host)).await;
        feeder.send(&Frame::SnapshotEnd).await;
        let whole = configuration(9, &fleet.routes);
        feeder.send(&Frame::Configuration(Box::new(whole))).await;
        feeder.frames().await;
        assert_eq!(host.context.active_configuration.version(), Some(9));
    });
}

/// Guards against a VM that drops the parts that had arrived when its link broke, and against one that adds parts of
/// another change to them.
#[test]
fn what_arrived_of_a_configuration_is_kept_over_a_broken_link_and_nothing_else_is_added_to_it() {
    simulate(async {
        let (fleet, host) = fleet_of_two().await;
        let old = host.context.configuration().unwrap();
        let more = crate::configurations::routes(&mut fastrand::Rng::with_seed(7), 700);
        let all: Vec<_> = fleet.routes.iter().cloned().chain(more).collect();
        let change = ConfigurationChange::between(&old, &configuration(7, &all));
        let parts_at = |range: std::ops::Range<usize>| change.parts()[range].to_vec();

        let (mut feeder, following) = follow_script(&host);
        assert_eq!(read_hello(&mut feeder).await.arrived, None);
        for part in parts_at(0..2) {
            feeder.send(&Frame::Part(Box::new(part))).await;
        }
        feeder.frames().await;
        drop(feeder);
        following.await.unwrap();

        let (mut feeder, following) = follow_script(&host);
        let arrived = read_hello(&mut feeder).await.arrived.unwrap();
        assert_eq!((arrived.from, arrived.to, arrived.parts), (Some(1), 7, 2));
        let other = ConfigurationChange::between(&old, &configuration(8, &all));
        let wrong = other.parts().swap_remove(2);
        feeder.send(&Frame::Part(Box::new(wrong))).await;
        assert_eq!(following.await.unwrap(), "out_of_step");

        let (mut feeder, _following) = follow_script(&host);
        let hello = read_hello(&mut feeder).await;
        assert_eq!((hello.version, hello.arrived), (None, None));
        for part in ConfigurationChange::whole(&configuration(8, &all)).parts() {
            feeder.send(&Frame::Part(Box::new(part))).await;
        }
        feeder.frames().await;
        assert_eq!(host.context.active_configuration.version(), Some(8));
    });
}
