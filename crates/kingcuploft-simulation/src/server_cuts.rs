//! The cuts between VMs and servers that are in force.
//!
//! A cut also holds for servers and processes of VMs that start while it lasts: it is one of the network.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::day::ServerCut;
use crate::history::VmIndex;
use crate::server::Server;
use crate::vm::Vm;

/// Identifies a cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CutId(u64);

/// One cut.
#[derive(Debug)]
struct CutInForce {
    id: CutId,
    vms: Vec<VmIndex>,
    /// The service whose servers are cut off; those of all services if none is named.
    service: Option<String>,
    how: ServerCut,
}

impl CutInForce {
    fn holds_between(&self, vm: &Vm, server: &Server) -> bool {
        let service = self.service.as_deref();
        let is_of_service = service.is_none_or(|service| server.service.name == service);
        is_of_service && self.vms.contains(&vm.index)
    }
}

/// The cuts that are in force.
#[derive(Debug, Default)]
pub struct ServerCuts {
    in_force: RefCell<Vec<CutInForce>>,
    begun_count: Cell<u64>,
}

impl ServerCuts {
    /// Begins a cut of VMs from the servers of a service, or of all services.
    pub fn begin(&self, vms: &[Rc<Vm>], service: Option<&str>, how: ServerCut) -> CutId {
        let id = CutId(self.begun_count.get());
        self.begun_count.set(id.0 + 1);
        self.in_force.borrow_mut().push(CutInForce {
            id,
            vms: vms.iter().map(|vm| vm.index).collect(),
            service: service.map(str::to_owned),
            how,
        });
        id
    }

    /// Ends a cut.
    pub fn end(&self, id: CutId) {
        self.in_force.borrow_mut().retain(|cut| cut.id != id);
    }

    /// Sets the paths between VMs and servers as the cuts in force say; of several cuts the latest one holds.
    pub fn apply(&self, vms: &[Rc<Vm>], servers: &[Rc<Server>]) {
        let in_force = self.in_force.borrow();
        for vm in vms {
            for server in servers {
                let mut latest_first = in_force.iter().rev();
                let cut = latest_first.find(|cut| cut.holds_between(vm, server));
                vm.cut_from_server(server, cut.map(|cut| cut.how));
            }
        }
    }
}
