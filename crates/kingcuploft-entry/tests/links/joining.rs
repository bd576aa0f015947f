//! What a VM that joins is told, frame by frame.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::change_assembly::AssemblyProgress;
use kingcuploft::entry::configuration_change::ConfigurationChange;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft_entry::peers::dial::Dial;
use kingcuploft_entry::peers::feeder;
use kingcuploft_entry::peers::follower;
use kingcuploft_entry::peers::frame::{Frame, Hello, PROTOCOL_VERSION, SyncStatus};
use kingcuploft_entry::peers::lines::Lines;
use kingcuploft_entry::store::Collection;
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};

use crate::configurations::configuration;
use crate::fleet::{Fleet, Links, play};
use crate::network::{Host, address};
use crate::pipe::{self, LinkEnd, Nic};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 200,
};

/// How long a VM is listened to.
const LISTEN: Duration = Duration::from_millis(600);

/// A VM whose frames the test writes and reads.
struct Script {
    lines: Lines<ReadHalf<LinkEnd>>,
    write: WriteHalf<LinkEnd>,
}

impl Script {
    fn of(link: LinkEnd) -> Self {
        let (read, write) = tokio::io::split(link);
        Self {
            lines: Lines::new(read),
            write,
        }
    }

    /// Joins a VM.
    fn join(host: &Rc<Host>) -> Self {
        let nic = Rc::new(Nic::of(200));
        let (own, other) = pipe::connect(&nic, &host.nic, Duration::ZERO);
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let _ = feeder::handle_connection(&host.context, &host.pulse, other).await;
        });
        Self::of(own)
    }

    async fn tell(&mut self, frame: &Frame) {
        self.write.write_all(&frame.to_line()).await.unwrap();
    }

    /// Returns the frames until the VM says nothing any more.
    async fn frames(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        let until = tokio::time::Instant::now() + LISTEN;
        while let Ok(Ok(Some(line))) = tokio::time::timeout_at(until, self.lines.next(LISTEN)).await
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

/// Returns what a VM says that stands where this one does.
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

/// Guards against a VM that joins a feeder between a change and its moment, and is never told the change.
#[test]
fn a_vm_that_joins_between_a_change_and_its_moment_is_told_the_change() {
    play(async {
        let (fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        let newer = configuration(2, &fleet.routes[1..]);
        host.context.active_configuration.adopt(newer);
        let position = host.context.position(Collection::Configuration);
        assert_eq!(hello.configuration, position);
        let mut joins = Script::join(&host);
        joins.tell(&Frame::Hello(hello)).await;
        assert_eq!(parts(&joins.frames().await), [(Some(1), 2, 0)]);
    });
}

/// Guards against the account of all servers being told to a VM that knows them.
#[test]
fn a_vm_that_knows_the_servers_is_not_told_them_again() {
    play(async {
        let (_fleet, host) = fleet_of_two().await;
        let is_table = |frame: &Frame| matches!(frame, Frame::AllServers(_));
        let hello = hello_like(&host);
        let mut joins = Script::join(&host);
        joins.tell(&Frame::Hello(hello.clone())).await;
        assert!(!joins.frames().await.iter().any(is_table));
        let mut other = Script::join(&host);
        let hello = Hello {
            vm: entry("knows others"),
            servers_digest: hello.servers_digest.map(|digest| digest + 1),
            ..hello
        };
        other.tell(&Frame::Hello(hello)).await;
        assert!(other.frames().await.iter().any(is_table));
    });
}

/// Guards against a transfer that begins anew each time its link breaks.
#[test]
fn a_transfer_that_was_broken_off_goes_on_where_it_stopped() {
    play(async {
        let (mut fleet, host) = fleet_of_two().await;
        let hello = hello_like(&host);
        fleet.add_routes(1400);
        fleet.in_force(LISTEN).await;
        let mut joins = Script::join(&host);
        let arrived = AssemblyProgress {
            from: Some(1),
            to: 2,
            parts: 4,
        };
        let hello = Hello {
            arrived: Some(arrived),
            ..hello
        };
        joins.tell(&Frame::Hello(hello)).await;
        let rest = [(Some(1), 2, 4), (Some(1), 2, 5)];
        assert_eq!(parts(&joins.frames().await), rest);
    });
}

/// Guards against frames that a VM of the release before can't read, while a fleet is replaced VM by VM.
#[test]
fn a_vm_of_the_release_before_is_told_in_its_own_frames() {
    play(async {
        let (mut fleet, host) = fleet_of_two().await;
        let position = host.context.position(Collection::Configuration);
        let vm = serde_json::to_string(&entry("before")).unwrap();
        let hello = format!(
            r#"{{"Hello":{{"vm":{vm},"configuration":{},"servers":null,"below":0}}}}"#,
            position.unwrap()
        );
        let mut joins = Script::join(&host);
        joins.write.write_all(hello.as_bytes()).await.unwrap();
        joins.write.write_all(b"\n").await.unwrap();
        let mut frames = joins.frames().await;
        fleet.change_one();
        frames.extend(joins.frames().await);
        let versions = frames.iter().filter_map(|frame| match frame {
            Frame::Configuration(configuration) => Some(configuration.version),
            Frame::NewerVersion(_) | Frame::Part(_) | Frame::Alive => panic!("{frame:?}"),
            _ => None,
        });
        assert_eq!(versions.collect::<Vec<_>>(), [1, 2]);
    });
}

/// A network in which every VM is the script of a test.
struct Scripted(std::cell::RefCell<Vec<LinkEnd>>);

impl Dial for Scripted {
    type Link = LinkEnd;

    async fn dial(&self, _: SocketAddr) -> std::io::Result<LinkEnd> {
        let next = self.0.borrow_mut().pop();
        next.ok_or_else(|| std::io::ErrorKind::ConnectionRefused.into())
    }
}

/// Follows a script as a VM that knows what `host` does; returns the script and the VM's task.
fn follow(host: &Rc<Host>) -> (Script, tokio::task::JoinHandle<String>) {
    let nic = Rc::new(Nic::of(200));
    let (own, other) = pipe::connect(&nic, &nic, Duration::ZERO);
    let network = Scripted(vec![own].into());
    let host = host.clone();
    let following = tokio::task::spawn_local(async move {
        let (own, feeder) = (entry("follows"), entry("script"));
        let ended = follower::follow(&host.context, &host.pulse, &own, &feeder, &network).await;
        ended.why.label().to_owned()
    });
    (Script::of(other), following)
}

async fn hello_of(script: &mut Script) -> Hello {
    let line = script.lines.next(LISTEN).await.unwrap().unwrap();
    match serde_json::from_slice(line).unwrap() {
        Frame::Hello(hello) => hello,
        frame => panic!("{frame:?}"),
    }
}

fn standing(host: &Host) -> Frame {
    Frame::Status(SyncStatus {
        configuration: host.context.position(Collection::Configuration),
        servers: host.context.position(Collection::BackendServers),
        evacuations: host.context.position(Collection::Evacuations),
        store_reachable: true,
        path: vec!["script".into()],
    })
}

/// Guards against a VM that does not understand a feeder of the release before.
#[test]
fn a_configuration_told_whole_by_a_vm_of_the_release_before_is_taken_in() {
    play(async {
        let (fleet, host) = fleet_of_two().await;
        let (mut feeder, _following) = follow(&host);
        hello_of(&mut feeder).await;
        feeder.tell(&standing(&host)).await;
        feeder.tell(&Frame::SnapshotEnd).await;
        let whole = configuration(9, &fleet.routes);
        feeder.tell(&Frame::Configuration(Box::new(whole))).await;
        feeder.frames().await;
        assert_eq!(host.context.active_configuration.version(), Some(9));
    });
}

/// Guards against a VM that forgets what had arrived when its link broke, and against one that takes parts of another change for the rest.
#[test]
fn what_arrived_of_a_configuration_is_kept_over_a_broken_link_and_nothing_else_is_added_to_it() {
    play(async {
        let (fleet, host) = fleet_of_two().await;
        let old = host.context.configuration().unwrap();
        let more = crate::configurations::routes(&mut fastrand::Rng::with_seed(7), 700);
        let all: Vec<_> = fleet.routes.iter().cloned().chain(more).collect();
        let change = ConfigurationChange::between(&old, &configuration(7, &all));
        let told = |range: std::ops::Range<usize>| change.parts()[range].to_vec();

        let (mut feeder, following) = follow(&host);
        assert_eq!(hello_of(&mut feeder).await.arrived, None);
        for part in told(0..2) {
            feeder.tell(&Frame::Part(Box::new(part))).await;
        }
        feeder.frames().await;
        drop(feeder);
        following.await.unwrap();

        let (mut feeder, following) = follow(&host);
        let arrived = hello_of(&mut feeder).await.arrived.unwrap();
        assert_eq!((arrived.from, arrived.to, arrived.parts), (Some(1), 7, 2));
        let other = ConfigurationChange::between(&old, &configuration(8, &all));
        let wrong = other.parts().swap_remove(2);
        feeder.tell(&Frame::Part(Box::new(wrong))).await;
        assert_eq!(following.await.unwrap(), "out_of_step");

        let (mut feeder, _following) = follow(&host);
        let hello = hello_of(&mut feeder).await;
        assert_eq!((hello.version, hello.arrived), (None, None));
        for part in ConfigurationChange::whole(&configuration(8, &all)).parts() {
            feeder.tell(&Frame::Part(Box::new(part))).await;
        }
        feeder.frames().await;
        assert_eq!(host.context.active_configuration.version(), Some(8));
    });
}
