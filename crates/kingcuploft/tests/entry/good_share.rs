use kingcuploft::entry::good_share::GoodShare;
use kingcuploft::entry::placement::LoadReport;

const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 2,
    slowness: 1.0,
};

/// Returns how many servers are probed first after reports of which so many in ten are good.
fn probed_first(good_of_ten: u32) -> usize {
    let mut share = GoodShare::default();
    for at in 0..1_000 {
        let running = u32::from(at * 3 % 10 >= good_of_ten);
        share.record(&LoadReport { running, ..IDLE });
    }
    share.probed_first()
}

#[test]
fn as_many_servers_are_probed_first_as_it_takes_to_find_a_good_one() {
    assert_eq!(GoodShare::default().probed_first(), 6);
    assert_eq!([9, 8, 6, 5, 0].map(probed_first), [3, 3, 4, 6, 6]);
}

/// Guards against a rising load that is noticed only when all requests wait.
#[test]
fn all_are_probed_again_soon_after_servers_have_become_busy() {
    let mut share = GoodShare::default();
    (0..1_000).for_each(|_| share.record(&IDLE));
    assert_eq!(share.probed_first(), 3);
    (0..50).for_each(|_| share.record(&LoadReport { running: 2, ..IDLE }));
    assert_eq!(share.probed_first(), 6);
}
