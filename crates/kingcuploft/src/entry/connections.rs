//! The number of connections that one VM may have to a backend server.
//!
//! Load pattern: a server accepts a bounded number of connections from all VMs together and resets those beyond, also
//! those of requests in flight. A server that hangs collects a connection for each request and probe that waits for it,
//! from every VM. Each VM keeps to an equal share without coordination.

/// Fraction of the bound that is used: the VM count lags by some seconds, and a server accepts fewer connections while
/// its queue is long.
const SAFETY_FACTOR: f64 = 0.8;

/// Minimum per VM, however many VMs there are: a request, its hedged request and a probe.
const MIN_PER_VM: usize = 4;

/// Returns how many connections each of `vms` VMs may have to a server that accepts `most` connections in all.
pub fn per_vm_limit(most: u32, vms: usize) -> usize {
    let share = SAFETY_FACTOR * f64::from(most) / vms.max(1) as f64;
    (share as usize).max(MIN_PER_VM)
}
