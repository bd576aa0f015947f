use kingcuploft::entry::connections::per_vm_limit;

/// Failure: a server hangs while all VMs have as many connections to it as they may, and resets some of them.
#[test]
fn all_vms_together_stay_below_what_a_server_accepts() {
    for (most, vms) in [(220, 14), (1040, 120), (1200, 144), (100, 1)] {
        let together = per_vm_limit(most, vms) * vms;
        assert!(
            together <= most as usize * 8 / 10,
            "{most} by {vms}: {together}"
        );
        assert!(together >= most as usize / 2, "{most} by {vms}: {together}");
    }
}

#[test]
fn a_vm_among_hundreds_can_still_send_and_probe() {
    assert_eq!(per_vm_limit(220, 300), 4);
}
