//! When a VM that starts stops waiting for others and asks the platform's store itself.
//!
//! Load pattern: hundreds of VMs start within a tenth of a second, all without any knowledge, and the VMs that they would
//! hear it from start with them. If each asks the store beside them, it gets a dozen calls from each, and each VM decodes
//! hundreds of entries on a small processor. If none does, all wait for one that may have no power. So they are
//! patient by their place: those that the record names ask one after the other, the others much later.

use std::time::Duration;

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::world::ids::VmName;

/// How long a VM waits for each of those that are named before it: a VM of the zone that runs answers within some
/// milliseconds.
const FOR_EACH: Duration = Duration::from_millis(20);

/// How long a VM waits that has not been told which VMs there are, for those that the settings name and the store.
const UNTOLD: Duration = Duration::from_millis(120);

/// How long a VM that is not named waits, and the most that chance adds.
const UNNAMED: Duration = Duration::from_millis(250);

/// How long a VM that is named waits for each before it where one has promised to tell it all: the store may turn that
/// one away alone.
const PROMISED_NAMED: Duration = Duration::from_millis(150);

/// The same for a VM that is not named, and the most that chance adds.
const PROMISED: Duration = Duration::from_secs(3);

/// Where the reader has lost the store, how long those that are named wait for each that is named before them: the store
/// answers in some milliseconds.
const ASK_FOR_EACH: Duration = Duration::from_millis(60);

/// The same for a VM that is not named, and the most that chance adds.
const ASK_UNNAMED: Duration = Duration::from_secs(4);

/// When all VMs start for the first time, how long one with a whole core waits before it makes itself its zone's
/// reader: smaller ones wait longer, so that the largest does.
const CLAIM_A_CORE: Duration = Duration::from_millis(60);

/// The longest such wait: callers come seconds later.
const LATEST_CLAIM: Duration = Duration::from_millis(1200);

/// Among VMs of one size, over how long a time their claims are spread.
const CLAIM_SPREAD: Duration = Duration::from_millis(400);

/// Returns how long a VM that knows nothing waits for others before it asks the store; `chance` is from 0 to 1.
pub fn store_read_delay(
    own: &VmName,
    record: Option<&ZoneRecord>,
    promised: bool,
    chance: f64,
) -> Duration {
    let place = record.and_then(|record| record.vms.iter().position(|vm| vm.name == *own));
    match (record, promised, place) {
        (None, _, _) => UNTOLD,
        (Some(_), true, Some(place)) => PROMISED_NAMED * (place as u32 + 1),
        (Some(_), true, None) => PROMISED.mul_f64(1.0 + chance),
        (Some(_), false, Some(place)) => FOR_EACH * (place as u32 + 1),
        (Some(_), false, None) => UNNAMED.mul_f64(1.0 + chance),
    }
}

/// Returns how long a VM waits, whose reader has lost the store, before it asks the store itself.
pub fn store_fallback_delay(own: &VmName, record: Option<&ZoneRecord>, chance: f64) -> Duration {
    let place = record.and_then(|record| record.vms.iter().position(|vm| vm.name == *own));
    match place {
        Some(place) => ASK_FOR_EACH * place as u32,
        None => ASK_UNNAMED.mul_f64(1.0 + chance),
    }
}

/// Returns how long a VM waits before it makes itself its zone's reader when all start for the first time.
pub fn claim_delay(own: &VmEntry, chance: f64) -> Duration {
    let cores = f64::from(own.cpu_milli.max(1)) / 1000.0;
    let by_size = CLAIM_A_CORE.div_f64(cores);
    by_size.min(LATEST_CLAIM) + CLAIM_SPREAD.mul_f64(chance)
}
