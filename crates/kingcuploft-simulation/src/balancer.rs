//! The platform's load balancer: checks whether the VMs are ready and assigns a VM to each caller.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::vm::Vm;

/// How often each VM's readiness is checked.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// After this many checks in a row that find it not ready, a VM gets no callers.
const UNHEALTHY_AFTER_MISSES: u32 = 2;

/// The load balancer.
#[derive(Debug)]
pub struct Balancer {
    vms: Vec<Rc<Vm>>,
    misses: RefCell<Vec<u32>>,
}

impl Balancer {
    /// Returns the load balancer of these VMs.
    pub fn new(vms: Vec<Rc<Vm>>) -> Self {
        let misses = RefCell::new(vec![UNHEALTHY_AFTER_MISSES; vms.len()]);
        Self { vms, misses }
    }

    /// Checks the VMs at intervals, without end.
    pub async fn run(&self) {
        loop {
            for vm in &self.vms {
                let mut misses = self.misses.borrow_mut();
                misses[vm.index] = match vm.is_ready() {
                    true => 0,
                    false => misses[vm.index] + 1,
                };
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Returns the VM for a caller in a zone; a further attempt reaches another VM.
    pub fn vm_for(&self, zone: usize, caller: u64, attempt: u32) -> Option<Rc<Vm>> {
        let of_zone: Vec<_> = self.vms.iter().filter(|vm| vm.zone == zone).collect();
        let healthy: Vec<_> = of_zone
            .iter()
            .copied()
            .filter(|vm| self.is_healthy(vm))
            .collect();
        let chosen = match (healthy.is_empty(), 2 * healthy.len() < of_zone.len()) {
            (true, _) => self.vms.iter().filter(|vm| self.is_healthy(vm)).collect(),
            (false, true) => of_zone,
            (false, false) => healthy,
        };
        let candidates = match chosen.is_empty() {
            true => self.vms.iter().collect(),
            false => chosen,
        };
        let at = caller.wrapping_add(u64::from(attempt).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let count = candidates.len() as u64;
        (count > 0).then(|| candidates[(at % count) as usize].clone())
    }

    fn is_healthy(&self, vm: &Vm) -> bool {
        self.misses.borrow()[vm.index] < UNHEALTHY_AFTER_MISSES
    }
}
