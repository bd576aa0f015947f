//! How many VMs are counted, by which all divide what they may use together.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::{Fleet, Links, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 20,
};

/// How long the VM that leads a zone is cut off: another one leads from then on.
const CUT_TIME: Duration = Duration::from_secs(5);

/// Longer than fewer VMs must be seen until fewer count.
const SHRINK_TIME: Duration = Duration::from_secs(40);

/// How often the counts are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against shares that grow at all VMs, as a VM that leads its zone again counts from the time when it was cut off.
#[test]
fn a_vm_that_leads_its_zone_again_counts_the_others_anew() {
    simulate(async {
        let fleet = Fleet::start(&[8], LINKS, 10, 1).await;
        let leader = || {
            let zones = fleet.store.0.zones.borrow();
            let first = zones[0].vms.first().expect("a leader");
            usize::from(first.address.port()) - 1
        };
        let first = leader();
        fleet.set_link_cut(first, true);
        tokio::time::sleep(CUT_TIME).await;
        fleet.set_link_cut(first, false);
        tokio::time::sleep(SHRINK_TIME).await;
        let second = leader();
        assert_ne!(first, second, "another VM leads meanwhile");
        fleet.power_off(second);
        let off_at = Instant::now();
        while off_at.elapsed() < SHRINK_TIME / 2 {
            for at in (0..fleet.len()).filter(|at| *at != second) {
                let host = fleet.network.host(at).expect("a VM with power");
                let counted = host.context.vm_count.get().counted();
                assert!(
                    counted >= Some(7),
                    "{at}: {counted:?} {:?}",
                    off_at.elapsed()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}
