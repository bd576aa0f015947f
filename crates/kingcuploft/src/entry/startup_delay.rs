//! How long a starting VM waits for other VMs before it reads the platform's store itself.
//!
//! Load pattern: hundreds of VMs start within a tenth of a second, all without any state, and the VMs that could serve
//! them start as well. If all read the store at once, each makes a dozen calls and decodes hundreds of entries on a
//! small processor. If none does, all wait for one that may have no power. So the delay depends on a VM's rank: the VMs
//! named in the zone's record read one after the other, the others much later.

use std::time::Duration;

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::world::ids::VmName;

/// Delay per VM that the record names before this one: a running VM of the zone answers within some milliseconds.
const DELAY_PER_VM: Duration = Duration::from_millis(20);

/// Delay without a record, in which the VM asks the VMs named in the settings and the store for one.
const DELAY_WITHOUT_RECORD: Duration = Duration::from_millis(120);

/// Delay of a VM that the record does not name; also the upper bound of its random part.
const UNNAMED_DELAY: Duration = Duration::from_millis(250);

/// Delay per VM that the record names before this one, when a feeder has promised the full state: the store may refuse
/// that feeder alone.
const PROMISED_DELAY_PER_VM: Duration = Duration::from_millis(150);

/// The same for a VM that the record does not name; also the upper bound of its random part.
const PROMISED_UNNAMED_DELAY: Duration = Duration::from_secs(3);

/// Delay per VM that the record names before this one, when the reader has lost the store: the store answers in some
/// milliseconds.
const FALLBACK_DELAY_PER_VM: Duration = Duration::from_millis(60);

/// The same for a VM that the record does not name; also the upper bound of its random part.
const FALLBACK_UNNAMED_DELAY: Duration = Duration::from_secs(4);

/// On the first start of all VMs: delay of a VM with one whole core before it claims to be its zone's reader. Smaller
/// VMs wait longer, so that the largest one claims.
const CLAIM_DELAY_PER_CORE: Duration = Duration::from_millis(60);

/// Maximum of that delay: callers come seconds later.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(1200);

/// Range of the random delay that spreads the claims of VMs of the same size.
const CLAIM_SPREAD: Duration = Duration::from_millis(400);

/// Returns how long a VM without state waits for others before it reads the store; `chance` is from 0 to 1.
pub fn store_read_delay(
    own: &VmName,
    record: Option<&ZoneRecord>,
    promised: bool,
    chance: f64,
) -> Duration {
    let rank = record.and_then(|record| record.vms.iter().position(|vm| vm.name == *own));
    match (record, promised, rank) {
        (None, _, _) => DELAY_WITHOUT_RECORD,
        (Some(_), true, Some(rank)) => PROMISED_DELAY_PER_VM * (rank as u32 + 1),
        (Some(_), true, None) => PROMISED_UNNAMED_DELAY.mul_f64(1.0 + chance),
        (Some(_), false, Some(rank)) => DELAY_PER_VM * (rank as u32 + 1),
        (Some(_), false, None) => UNNAMED_DELAY.mul_f64(1.0 + chance),
    }
}

/// Returns how long a VM whose reader has lost the store waits before it reads the store itself.
pub fn store_fallback_delay(own: &VmName, record: Option<&ZoneRecord>, chance: f64) -> Duration {
    let rank = record.and_then(|record| record.vms.iter().position(|vm| vm.name == *own));
    match rank {
        Some(rank) => FALLBACK_DELAY_PER_VM * rank as u32,
        None => FALLBACK_UNNAMED_DELAY.mul_f64(1.0 + chance),
    }
}

/// Returns how long a VM waits on the first start of all VMs before it claims to be its zone's reader.
pub fn claim_delay(own: &VmEntry, chance: f64) -> Duration {
    let cores = f64::from(own.cpu_milli.max(1)) / 1000.0;
    let by_size = CLAIM_DELAY_PER_CORE.div_f64(cores);
    by_size.min(MAX_CLAIM_DELAY) + CLAIM_SPREAD.mul_f64(chance)
}
