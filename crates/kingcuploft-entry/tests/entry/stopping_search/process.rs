//! The process of a VM: its tasks, which end all at once when it exits.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use kingcuploft::entry::shutdown::ShutdownPhase;
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft_entry::context::Context;
use kingcuploft_entry::edge::connection;
use kingcuploft_entry::run::Running;
use kingcuploft_entry::settings::EntrySettings;
use kingcuploft_soak::cuttable::CuttableNetwork;
use tokio::io::DuplexStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::following;
use crate::store::TestStore;
use crate::testbed;

/// What callers reach of a VM's process.
pub(super) struct Process {
    pub(super) caller_address: SocketAddr,
    pub(super) context: Rc<Context>,
    tasks: Weak<LocalSet>,
    terminate: Notify,
    /// The paths to the servers, if they can be cut.
    pub(super) network: Option<Rc<CuttableNetwork>>,
}

/// The memory of a small entry VM: the answers of these servers are no burden to it.
const MEMORY_BYTES: usize = 160_000_000;

fn settings(name: &str) -> EntrySettings {
    EntrySettings {
        memory_bytes: MEMORY_BYTES,
        ..testbed::settings(name)
    }
}

impl Process {
    /// Starts a VM without others.
    pub(super) async fn start_alone(store: &TestStore) -> Rc<Self> {
        let tasks = Rc::new(LocalSet::new());
        let running = tasks
            .run_until(testbed::start_with(settings("vm"), store))
            .await;
        Self::live(tasks, running, None)
    }

    /// Starts a VM of a zone, whose paths to the servers can be cut.
    pub(super) async fn start_in_zone(at: usize, store: &TestStore) -> Rc<Self> {
        let name = format!("vm-{at}");
        let tasks = Rc::new(LocalSet::new());
        let network = Rc::new(CuttableNetwork::default());
        let starting =
            following::start_with_settings(network.clone(), "thun", settings(&name), store);
        let running = tasks.run_until(starting).await;
        Self::live(tasks, running, Some(network))
    }

    /// Has a VM run until it is asked to stop and exits.
    fn live(
        tasks: Rc<LocalSet>,
        running: Running,
        network: Option<Rc<CuttableNetwork>>,
    ) -> Rc<Self> {
        let process = Rc::new(Self {
            caller_address: running.caller_address,
            context: running.context.clone(),
            tasks: Rc::downgrade(&tasks),
            terminate: Notify::new(),
            network,
        });
        let asked = process.clone();
        tokio::task::spawn_local(async move {
            let living = async {
                asked.terminate.notified().await;
                running.stop().await;
            };
            tasks.run_until(living).await;
        });
        process
    }

    /// Asks the VM to stop.
    pub(super) fn terminate(&self) {
        self.terminate.notify_one();
    }

    /// Returns whether the VM knows that there are so many.
    pub(super) fn has_counted(&self, vms: usize) -> bool {
        self.context.vm_count.get() == VmCount::Counted(vms)
    }

    /// Returns whether the VM accepts connections. Later another process may have its address.
    pub(super) fn accepts(&self) -> bool {
        match self.context.shutdown.phase() {
            ShutdownPhase::Running | ShutdownPhase::Announced => true,
            ShutdownPhase::Closing | ShutdownPhase::Exiting | ShutdownPhase::Ended => false,
        }
    }

    /// Opens a connection that holds so many unread bytes each way.
    pub(super) fn connect_in_memory(&self, bytes: usize) -> Option<DuplexStream> {
        let tasks = self.tasks.upgrade()?;
        let (own, accepted) = tokio::io::duplex(bytes);
        tasks.spawn_local(connection::serve(self.context.clone(), accepted));
        Some(own)
    }
}
