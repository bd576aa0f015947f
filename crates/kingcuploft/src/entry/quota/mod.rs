//! Quotas: rates of workspaces that all VMs together keep to, wherever their callers arrive.
//!
//! Load pattern: a workspace asks for many times its quota, at one VM or at all, and the VMs may be cut off from each
//! other, restart, or be killed all at once. Divided by the number of VMs a quota would starve a workspace whose callers
//! arrive at few of them; counted by one VM alone it would be lost with that VM, or granted twice after a cut.
//!
//! So each VM earns an equal share of the fleet's time, and of nothing else: in each second, the shares of all VMs
//! together are one second. A VM entrusts its share to a keeper ([`keeper`]), which turns the time that it was given into
//! requests of workspaces, and gives these to the VMs whose callers ask ([`account`]). A share that is lost, with a
//! datagram or a VM, makes the sum smaller; nothing makes it larger. So the quota holds whoever keeps it, also where VMs
//! disagree about that, and no VM has to know whether another one is alive.

pub mod account;
pub mod keeper;
pub mod keepers;
pub mod message;

use std::time::Duration;

/// The number of shards into which workspaces are divided; each has a keeper of its own.
pub const SHARDS: usize = 3;

/// A shard.
pub type Shard = usize;

/// The least and the greatest time between two messages of a VM to the keeper of a shard in use.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// The same for a shard whose requests are all there to be had.
const RESTING_INTERVAL: Duration = Duration::from_millis(500);

/// The time that is added to the interval for each VM, as a keeper hears them all.
const INTERVAL_PER_VM: Duration = Duration::from_micros(1200);

/// For how long a VM keeps its own share if it can't entrust it: the longest interval and a bit.
const MAX_HELD: Duration = Duration::from_millis(600);

/// How long requests that a VM was given stay good; then they go back to the keeper.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// The least time for which a keeper saves a rate up, whatever the burst: it arrives in steps.
const MIN_SAVED: Duration = Duration::from_millis(200);

/// The number of requests that a keeper to which all VMs entrust their shares saves beyond the first, whatever the burst:
/// the next caller of a small workspace may come seconds after there is room.
const MIN_SAVED_REQUESTS: f64 = 2.0;

/// Returns the shard of a workspace, the same on all VMs.
pub fn shard_of(workspace: &str) -> Shard {
    crate::utils::rendezvous::rendezvous("shard", workspace) as usize % SHARDS
}

/// Returns the time between two messages of a VM to a keeper that hears from this many VMs.
pub fn interval(vms: usize) -> Duration {
    let wanted = INTERVAL_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX).min(10_000);
    wanted.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// What the users allow beyond a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The time within which requests are counted.
    pub window: Duration,
    /// The share of the quota that may be used beyond it.
    pub overage: f64,
    /// The number of requests that may be used beyond it.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        }
    }
}
