//! VMs that are cut off from the backend servers, while callers, the store and the other VMs still reach them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::peers::load_reports;
use kingcuploft_entry::peers::peer_socket::PeerMessage;
use kingcuploft_entry::run::Running;

use crate::cuttable::{Cut, CuttableNetwork};
use crate::following::{follower_count, start_with_network};
use crate::server::{Behavior, TestServer};
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

    pub(crate) fn cut(&self, vm: usize, cut: Cut) {
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
async fn check_lone_vm(cut: Cut) {
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
    run_test(check_lone_vm(Cut::Silent));
}

/// Guards against callers of a VM that are refused while only that VM's links to the servers are reset.
#[test]
fn callers_of_a_vm_whose_links_to_all_servers_are_reset_are_served() {
    run_test(check_lone_vm(Cut::Reset));
}

/// Guards against callers that are refused where open connections live on and no new one can be opened.
#[test]
fn callers_of_a_vm_to_which_servers_refuse_new_connections_are_served() {
    run_test(check_lone_vm(Cut::NewRefused));
}

/// Guards against callers that wait in vain where open connections live on and new ones hang.
#[test]
fn callers_of_a_vm_whose_new_connections_hang_are_served() {
    run_test(check_lone_vm(Cut::NewSilent));
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
            fleet.cut(vm, Cut::Silent);
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
        fleet.cut(0, Cut::Silent);
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
