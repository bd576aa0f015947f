//! How many connections one VM may have to a backend server.
//!
//! Load pattern: a server accepts a bounded number of connections from all VMs together and resets those
//! beyond, also those of requests under way. A server that hangs collects a connection for each request
//! and probe that waits at it, from every VM. Each VM keeps to an equal part without asking the others.

/// The part of the bound that is used: VMs are counted some seconds late, and a server accepts fewer
/// while its line is long.
const GUARD: f64 = 0.8;

/// The least that a VM may have, however many VMs there are: a request, its second look and a probe.
const LEAST: usize = 4;

/// Returns how many connections one of `vms` may have to a server that accepts `most` from all.
pub fn per_vm_limit(most: u32, vms: usize) -> usize {
    let part = GUARD * f64::from(most) / vms.max(1) as f64;
    (part as usize).max(LEAST)
}
