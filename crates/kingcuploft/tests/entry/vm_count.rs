use std::time::{Duration, Instant};

use kingcuploft::entry::probe_budget::ProbeBudget;
use kingcuploft::entry::repeat_budget::{RepeatBounds, RepeatBudget};
use kingcuploft::entry::vm_count::VmCount;

/// Guards against VMs that take more than their share as long as they can't count the others: more than a thousand of them,
/// each as one of a thousand, went beyond what all may use.
#[test]
fn vms_that_are_not_counted_stay_within_the_bounds_however_many_they_are() {
    const VMS: usize = 12_000;
    let (start, servers, bound) = (Instant::now(), 20_000, 60.0);
    let bounds = RepeatBounds {
        ratio: 0.2,
        allowance: 1_040.0,
        window: Duration::from_secs(10),
    };
    let divisor = VmCount::Uncounted.divisor();
    let (mut probes, mut repeats) = (0, 0);
    let mut of_one_vm = ProbeBudget::new(start);
    let mut repeats_of_one_vm = RepeatBudget::for_first_start();
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        probes += usize::from(of_one_vm.try_take(now, bound, servers, divisor));
        let status = repeats_of_one_vm.try_take(now, &"trip".into(), &bounds, divisor);
        repeats += usize::from(status.allows_repeat());
    }
    assert!(
        (probes * VMS) as f64 <= bound * servers as f64 * 10.0,
        "{probes} probes a VM"
    );
    assert!(
        (repeats * VMS) as f64 <= bounds.allowance,
        "{repeats} repeats a VM"
    );
}

#[test]
fn a_fleet_of_any_size_is_told_from_one_that_is_not_counted() {
    for vms in [1, 983, 1_000, 1_061, 5_881] {
        let count = VmCount::Counted(vms);
        assert_eq!((count.divisor(), count.counted()), (vms, Some(vms)));
    }
    assert_eq!(VmCount::default().counted(), None);
}
