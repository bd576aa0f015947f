//! VMs that are cut off from the backend servers, while callers, the store and the other VMs still reach them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::peers::load_reports;
use kingcuploft_entry::peers::peer_socket::PeerMessage;
use kingcuploft_entry::reach;
use kingcuploft_entry::run::Running;

use kingcuploft_soak::cuttable::{CuttableNetwork, ServerCut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::following::{follower_count, start_with_network};
use crate::server::{Behavior, ReceivedRequest, TestServer};
use crate::store::TestStore;
use crate::testbed::{Answer, Caller, booking, configuration, entry, lookup, run_test, wait_until};

/// How long after the begin of a cut first tries must be served again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The least share of first tries that must be served then.
const MIN_SERVED_SHARE: f64 = 2.0 / 3.0;

/// How many first tries are counted.
const TRIES: usize = 30;

/// The pause between two of them.
const PAUSE: Duration = Duration::from_millis(15);

/// How long the callers wait.
const DEADLINE: &str = "x-deadline-ms: 600";

/// How long a request takes at a server.
const WORK_TIME: Duration = Duration::from_millis(5);

/// How long it takes at a server whose slots are to be taken.
const LONG_WORK_TIME: Duration = Duration::from_millis(20);

/// How many callers ask at the same time: more than there are open connections.
const CALLERS: usize = 6;

/// VMs, each with a network of its own to the servers that they share.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Running>,
    pub(crate) networks: Vec<Rc<CuttableNetwork>>,
    pub(crate) servers: Vec<TestServer>,
    pub(crate) store: TestStore,
}

impl Fleet {
    /// Starts a VM in each of these zones, named after its place in the list, and servers with these behaviors.
    pub(crate) async fn of(zones: &[&str], behaviors: &[Behavior]) -> Self {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let mut servers = Vec::new();
        for (at, behavior) in behaviors.iter().enumerate() {
            let server = TestServer::start(*behavior).await;
            store.0.write_backend_server(entry(at, &server));
            servers.push(server);
        }
        let mut fleet = Self {
            vms: Vec::new(),
            networks: Vec::new(),
            servers,
            store,
        };
        for (at, zone) in zones.iter().enumerate() {
            let network = Rc::new(CuttableNetwork::default());
            let name = format!("vm-{at}");
            let vm = start_with_network(network.clone(), zone, &name, &fleet.store).await;
            fleet.vms.push(vm);
            fleet.networks.push(network);
        }
        wait_until(|| follower_count(&fleet.vms) == fleet.vms.len() - 1).await;
        let counted = |vm: &Running| vm.context.vm_count.get() == zones.len();
        wait_until(|| fleet.vms.iter().all(counted)).await;
        fleet
    }

    pub(crate) fn cut(&self, vm: usize, cut: ServerCut) {
        let servers = self.servers.iter().map(|server| server.address);
        self.networks[vm].cut(servers, cut);
    }

    pub(crate) async fn ask(&self, vm: usize, request: &str) -> Answer {
        let mut caller = Caller::connect(self.vms[vm].caller_address).await;
        caller.send(request).await;
        caller.answer().await.expect("an answer")
    }

    /// Sends first tries to a VM, lookups and bookings in turn; returns the share that was served.
    pub(crate) async fn served_share(&self, vm: usize, name: &str) -> f64 {
        let mut served = 0;
        for at in 0..TRIES {
            let id = format!("{name}-{vm}-{at}");
            let request = match at % 2 {
                0 => lookup(&id),
                _ => booking(&id),
            };
            let request = request.replace("x-deadline-ms: 4000", DEADLINE);
            served += usize::from(self.ask(vm, &request).await.status == 200);
            tokio::time::sleep(PAUSE).await;
        }
        served as f64 / TRIES as f64
    }

    /// Sends first tries to a VM by several callers at once; returns the share that was served.
    pub(crate) async fn served_by_callers(self: &Rc<Self>, vm: usize, name: &str) -> f64 {
        let callers = (0..CALLERS).map(|caller| {
            let (fleet, name) = (self.clone(), format!("{name}-{caller}"));
            tokio::task::spawn_local(async move { fleet.served_share(vm, &name).await })
        });
        let mut served = 0.0;
        for caller in callers.collect::<Vec<_>>() {
            served += caller.await.unwrap();
        }
        served / CALLERS as f64
    }

    /// Cuts a VM off silently, and waits until it knows.
    async fn cut_and_notice(&self, vm: usize) {
        self.cut(vm, ServerCut::Silent);
        let reach = &self.vms[vm].context.reach;
        while !reach.is_out_of_reach(&"trip".into()) {
            self.ask(
                vm,
                &lookup("notice").replace("x-deadline-ms: 4000", DEADLINE),
            )
            .await;
        }
    }

    /// Returns the address at which other VMs reach a VM.
    fn peer_address(&self, vm: usize) -> SocketAddr {
        let context = &self.vms[vm].context;
        let records = context.readers.borrow().records();
        let mut vms = records.iter().flat_map(|record| &record.vms);
        let own = vms.find(|entry| entry.name == context.settings.vm);
        own.expect("the VM is in its zone's record").address
    }

    fn received(&self, id: &str) -> Vec<ReceivedRequest> {
        let servers = self.servers.iter();
        let all = servers.flat_map(|server| server.received.borrow().clone());
        all.filter(|request| request.header("x-id") == Some(id))
            .collect()
    }

    /// Returns how many requests a VM has passed to others.
    fn relays(&self, vm: usize) -> usize {
        let text = self.vms[vm].context.metrics_text();
        let lines = text
            .lines()
            .filter(|line| line.starts_with("kingcuploft_entry_relays_total"));
        let counts = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<usize>().ok());
        counts.sum()
    }

    /// Returns how many requests the servers ran more than once.
    pub(crate) fn run_twice(&self) -> usize {
        let received = self
            .servers
            .iter()
            .flat_map(|s| s.received.borrow().clone());
        let mut ids: Vec<_> = received
            .filter(|request| request.text.starts_with("POST"))
            .filter_map(|request| request.header("x-id").map(str::to_owned))
            .collect();
        let all = ids.len();
        ids.sort();
        ids.dedup();
        all - ids.len()
    }
}

/// Cuts a VM among three of its zone off, and checks the first tries there from three seconds on.
async fn check_lone_vm(cut: ServerCut) {
    let behaviors = [Behavior::AnswerAfter(LONG_WORK_TIME); 4];
    let fleet = Rc::new(Fleet::of(&["thun"; 3], &behaviors).await);
    assert_eq!(fleet.served_share(0, "before").await, 1.0);
    fleet.cut(0, cut);
    let cut_at = Instant::now();
    fleet.served_share(0, "soon").await;
    tokio::time::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed())).await;
    let served = fleet.served_by_callers(0, "cut").await;
    assert!(served >= MIN_SERVED_SHARE, "{cut:?}: {served}");
    assert_eq!(fleet.run_twice(), 0);
}

/// Guards against callers of a VM that are refused while only that VM's links to the servers are silent.
#[test]
fn callers_of_a_vm_whose_links_to_all_servers_are_silent_are_served() {
    run_test(check_lone_vm(ServerCut::Silent));
}

/// Guards against callers of a VM that are refused while only that VM's links to the servers are reset.
#[test]
fn callers_of_a_vm_whose_links_to_all_servers_are_reset_are_served() {
    run_test(check_lone_vm(ServerCut::Reset));
}

/// Guards against callers that are refused where open connections live on and no new one can be opened.
#[test]
fn callers_of_a_vm_to_which_servers_refuse_new_connections_are_served() {
    run_test(check_lone_vm(ServerCut::NewRefused));
}

/// Guards against callers that wait in vain where open connections live on and new ones hang.
#[test]
fn callers_of_a_vm_whose_new_connections_hang_are_served() {
    run_test(check_lone_vm(ServerCut::NewSilent));
}

/// Guards against callers of a whole zone that are refused while the VMs of another zone reach the servers.
#[test]
fn callers_of_a_zone_whose_vms_are_all_cut_off_are_served() {
    run_test(async {
        let behaviors = [Behavior::AnswerAfter(WORK_TIME); 4];
        let fleet = Fleet::of(&["thun", "thun", "bern"], &behaviors).await;
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        let cut_at = Instant::now();
        for vm in [0, 1] {
            fleet.cut(vm, ServerCut::Silent);
        }
        for vm in [0, 1] {
            fleet.served_share(vm, "soon").await;
        }
        tokio::time::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed())).await;
        for vm in [0, 1] {
            let served = fleet.served_share(vm, "cut").await;
            assert!(served >= MIN_SERVED_SHARE, "{vm}: {served}");
        }
        assert_eq!(fleet.run_twice(), 0);
    });
}

/// Guards against a VM that sends to a server which it can't reach, since another VM of the zone tells that server's load.
#[test]
fn a_load_report_of_another_vm_does_not_stand_for_a_path_to_the_server() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer]).await;
        assert_eq!(fleet.ask(0, &lookup("before")).await.status, 200);
        fleet.cut(0, ServerCut::Silent);
        let context = &fleet.vms[0].context;
        let upstream = context.upstream("s0").unwrap();
        while !upstream.is_unresponsive(Instant::now()) {
            fleet.ask(0, &lookup("cut").replace("4000", "100")).await;
        }
        let report = PeerMessage::LoadReport {
            server: "s0".into(),
            running: 0,
            waiting: 0,
            slots: 4,
            slowness: 1.0,
            cold_ms: None,
        };
        load_reports::handle_message(context, &report, fleet.vms[0].caller_address);
        assert!(upstream.is_unresponsive(Instant::now()));
        assert_eq!(upstream.load_report(Instant::now()), None);
        fleet.networks[0].heal();
        tokio::time::sleep(CONTACT_TIME).await;
        assert_eq!(fleet.ask(0, &lookup("after")).await.status, 200);
    });
}

/// Returns what a VM tells another of a request that it passes on.
fn told() -> String {
    "Kingcuploft-Relay: {\"service\":\"trip\",\"configuration\":1,\"waited_ms\":0,\"is_caller_retry\":false,\"attempts\":2}\r\n"
        .to_owned()
}

/// Returns a request with one more header.
fn with_header(request: &str, header: &str) -> String {
    request.replacen("x-id", &format!("{header}x-id"), 1)
}

/// Answers each connection with these bytes, and closes it.
async fn start_false_vm(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against a relayed request that has more time, other headers or another answer than one that is sent directly.
#[test]
fn a_relayed_request_reaches_the_server_and_its_answer_the_caller_unchanged() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::AnswerAfter(WORK_TIME); 3]).await;
        fleet.cut_and_notice(0).await;
        let answer = fleet
            .ask(0, &with_header(&booking("b"), "x-other: kept\r\n"))
            .await;
        assert_eq!((answer.status, &*answer.body), (200, "hello"));
        assert!(answer.has("x-signed: s") && answer.has("x-id: b"));
        assert!(!answer.has("kingcuploft-relay"));
        let received = fleet.received("b");
        let [request] = &received[..] else {
            panic!("it runs once: {received:?}");
        };
        assert!(request.text.ends_with("bed"));
        assert_eq!(request.header("x-other"), Some("kept"));
        assert_eq!(request.header("kingcuploft-relay"), None);
        let left_ms: u32 = request.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(left_ms <= 4000);
        assert!(fleet.relays(0) > 0);
    });
}

/// Guards against a server that works on for a caller who has left the VM that passed the request on.
#[test]
fn a_caller_who_leaves_cancels_the_relayed_request() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::AnswerAfter(CONTACT_TIME));
        }
        let mut caller = Caller::connect(fleet.vms[0].caller_address).await;
        caller.send(&lookup("left")).await;
        wait_until(|| !fleet.received("left").is_empty()).await;
        drop(caller);
        let cancelled = || {
            fleet
                .servers
                .iter()
                .any(|server| server.cancelled.get() > 0)
        };
        wait_until(cancelled).await;
    });
}

/// Guards against a protected request that is sent again after its answer was lost behind another VM.
#[test]
fn a_relayed_booking_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::LoseAnswer);
        }
        let answer = fleet.ask(0, &booking("lost")).await;
        assert_eq!(answer.status, 502);
        assert_eq!(fleet.received("lost").len(), 1);
    });
}

/// Guards against a refusal at another VM that the caller does not get as the truthful one that it is.
#[test]
fn a_relayed_request_that_all_servers_refuse_is_answered_as_not_run() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::Shed);
        }
        let answer = fleet.ask(0, &booking("refused")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert_eq!(fleet.received("refused").len(), 3, "each once");
    });
}

/// Guards against a cut that is seen where all servers are down: requests that go round among VMs.
#[test]
fn all_servers_down_is_no_cut() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 4]).await;
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        for server in &fleet.servers {
            server.shut_down();
        }
        tokio::time::sleep(CONTACT_TIME / 4).await;
        for at in 0..4 {
            let request = booking(&format!("down{at}")).replace("x-deadline-ms: 4000", DEADLINE);
            assert_eq!(fleet.ask(0, &request).await.status, 503);
        }
        let reach = &fleet.vms[0].context.reach;
        assert!(reach.is_out_of_reach(&"trip".into()), "the VM has asked");
        assert_eq!(fleet.relays(0), 0);
    });
}

/// Guards against a request that two VMs without servers pass to each other.
#[test]
fn a_relayed_request_is_not_passed_on_again() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        let mut other_vm = Caller::connect(fleet.peer_address(0)).await;
        other_vm
            .send(&with_header(&booking("again"), &told()))
            .await;
        let answer = other_vm.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("kingcuploft-relay: {\"server\":null,\"arrived\":0,\"ran\":0}"));
        assert_eq!(fleet.received("again").len(), 0);
        assert_eq!(
            fleet.ask(0, &booking("own")).await.status,
            200,
            "its own are"
        );
    });
}

/// Guards against a VM that believes another one whose configuration is newer than its own.
#[test]
fn a_request_routed_by_a_newer_configuration_is_refused_unsent() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        let newer = told().replace("\"configuration\":1", "\"configuration\":2");
        let mut other_vm = Caller::connect(fleet.peer_address(0)).await;
        other_vm.send(&with_header(&booking("newer"), &newer)).await;
        let answer = other_vm.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("\"arrived\":0"));
        assert_eq!(fleet.received("newer").len(), 0);
    });
}

/// Guards against a caller who gives itself the rights of a VM.
#[test]
fn a_relay_header_of_a_caller_changes_nothing() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer; 3]).await;
        let false_told = told().replace("trip", "other");
        let answer = fleet
            .ask(0, &with_header(&lookup("false"), &false_told))
            .await;
        assert_eq!(answer.status, 200);
        assert!(!answer.has("kingcuploft-relay"));
        assert_eq!(fleet.received("false")[0].header("kingcuploft-relay"), None);
    });
}

/// Sends a booking and a lookup through a false VM beside a true one; returns their statuses.
async fn statuses_behind_false_vm(answer: &'static str) -> (u16, u16) {
    let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
    fleet.cut_and_notice(0).await;
    let (context, service) = (&fleet.vms[0].context, "trip".into());
    let true_vm = fleet.peer_address(1);
    let false_vm = start_false_vm(answer).await;
    let mut statuses = [0; 2];
    for (status, request) in statuses.iter_mut().zip([booking("b"), lookup("l")]) {
        reach::handle_reply(context, &service, false, true_vm);
        reach::handle_reply(context, &service, true, false_vm);
        *status = fleet.ask(0, &request).await.status;
    }
    (statuses[0], statuses[1])
}

/// Guards against bytes of a broken VM that are passed on as an answer, or taken for a promise that nothing ran.
#[test]
fn bad_bytes_of_another_vm_are_no_answer_and_no_promise() {
    run_test(async {
        for bytes in [
            "no http",
            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            "",
        ] {
            let (booking, lookup) = statuses_behind_false_vm(bytes).await;
            assert_eq!(booking, 502, "{bytes:?}: it may have run");
            assert!([200, 502].contains(&lookup), "{bytes:?}: {lookup}");
        }
    });
}

/// Guards against a request that all VMs refuse as one that crashes servers, since a cut reset it at several servers.
#[test]
fn connections_that_a_cut_resets_are_no_crashes_of_their_servers() {
    run_test(async {
        let fleet = Rc::new(Fleet::of(&["thun"; 2], &[Behavior::Answer; 4]).await);
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        for server in &fleet.servers {
            server.behavior.set(Behavior::AnswerAfter(CONTACT_TIME));
        }
        let asking = (0..CALLERS).map(|at| {
            let fleet = fleet.clone();
            tokio::task::spawn_local(async move { fleet.ask(0, &lookup(&format!("r{at}"))).await })
        });
        let asking: Vec<_> = asking.collect();
        wait_until(|| fleet.received("r0").len() + fleet.received("r5").len() >= 2).await;
        fleet.cut(0, ServerCut::Reset);
        for server in &fleet.servers {
            server.behavior.set(Behavior::Answer);
        }
        for asked in asking {
            asked.await.unwrap();
        }
        for vm in &fleet.vms {
            let crashed = vm.context.quarantine.borrow();
            assert!(crashed.is_empty(), "{}", vm.context.settings.vm);
        }
    });
}
