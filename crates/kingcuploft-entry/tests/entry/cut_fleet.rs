//! VMs of several zones, each with a network of its own to the servers that they share, which can be cut.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::vm_count::VmCount;
use kingcuploft_entry::run::Running;
use kingcuploft_soak::cuttable::{CuttableNetwork, ServerCut};

use crate::following::{follower_count, start_with_network};
use crate::server::{Behavior, ReceivedRequest, TestServer};
use crate::store::TestStore;
use crate::testbed::{Answer, Caller, booking, lookup, start_servers, wait_until};

/// How many first tries are counted.
pub(crate) const TRIES: usize = 30;

/// The pause between two of them.
pub(crate) const PAUSE: Duration = Duration::from_millis(15);

/// How long the callers wait.
pub(crate) const DEADLINE: &str = "x-deadline-ms: 600";

/// How many callers ask at the same time: more than there are open connections.
pub(crate) const CALLERS: usize = 6;

/// How long after the begin of a cut first tries must be served again.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The least share of first tries that must be served then.
pub(crate) const MIN_SERVED_SHARE: f64 = 2.0 / 3.0;

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
        let (store, servers) = start_servers(behaviors).await;
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
        let counted = |vm: &Running| vm.context.vm_count.get() == VmCount::Counted(zones.len());
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

    /// Cuts a VM off; returns the share of the first tries there that is served from three seconds on.
    pub(crate) async fn served_while_cut(
        self: &Rc<Self>,
        vm: usize,
        cut: ServerCut,
        name: &str,
    ) -> f64 {
        self.cut(vm, cut);
        let cut_at = Instant::now();
        self.served_share(vm, &format!("{name}-soon")).await;
        tokio::time::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed())).await;
        self.served_by_callers(vm, name).await
    }

    /// Cuts a VM off silently, and waits until it knows.
    pub(crate) async fn cut_and_notice(&self, vm: usize) {
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
    pub(crate) fn peer_address(&self, vm: usize) -> SocketAddr {
        let context = &self.vms[vm].context;
        let records = context.readers.borrow().records();
        let mut vms = records.iter().flat_map(|record| &record.vms);
        let own = vms.find(|entry| entry.name == context.settings.vm);
        own.expect("the VM is in its zone's record").address
    }

    pub(crate) fn received(&self, id: &str) -> Vec<ReceivedRequest> {
        let servers = self.servers.iter();
        let all = servers.flat_map(|server| server.received.borrow().clone());
        all.filter(|request| request.header("x-id") == Some(id))
            .collect()
    }

    /// Returns how many requests a VM has passed to others.
    pub(crate) fn relays(&self, vm: usize) -> usize {
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
