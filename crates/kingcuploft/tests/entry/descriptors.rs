//! Who gives way when descriptors are short.

use kingcuploft::entry::descriptors::{DescriptorAccount, DescriptorUse, Relief};

const MAX: usize = 20;

/// Every use that connections can make of a few more descriptors than there are.
fn all_uses() -> impl Iterator<Item = DescriptorUse> {
    let sizes = || 0..MAX + 4;
    let totals = sizes().flat_map(move |callers| sizes().map(move |servers| (callers, servers)));
    totals.flat_map(|(callers, server_connections)| {
        let idle = (0..=callers).flat_map(move |a| (0..=server_connections).map(move |b| (a, b)));
        idle.map(
            move |(idle_callers, idle_server_connections)| DescriptorUse {
                callers,
                idle_callers,
                server_connections,
                idle_server_connections,
            },
        )
    })
}

/// Guards against a VM that gives descriptors to callers which servers, the store and readiness need, or that closes connections
/// and has room.
#[test]
fn somebody_gives_way_exactly_as_far_as_one_more_caller_needs() {
    let account = DescriptorAccount::new(MAX);
    let (max_used, max_callers) = (16, 15);
    let mut admitted_by_relief = 0;
    for held in all_uses() {
        let relief = account.relief(&held);
        assert!(relief.callers <= held.idle_callers, "{held:?} {relief:?}");
        let closed = relief.server_connections;
        assert!(closed <= held.idle_server_connections, "{held:?}");
        let used = held.callers + held.server_connections;
        let busy = used - held.idle_callers - held.idle_server_connections;
        let busy_callers = held.callers - held.idle_callers;
        let can_fit = busy < max_used && busy_callers < max_callers;
        assert_eq!(relief.admits, can_fit, "{held:?} {relief:?}");
        if !relief.admits {
            assert_eq!(relief, Relief::default(), "{held:?}");
            continue;
        }
        let after = used + 1 - relief.callers - relief.server_connections;
        assert!(after <= max_used, "{held:?} {relief:?}");
        assert!(held.callers + 1 - relief.callers <= max_callers, "{held:?}");
        if account.has_room(held.callers, held.server_connections) {
            assert!(used < max_used && held.callers < max_callers, "{held:?}");
            assert_eq!((relief.callers, closed), (0, 0), "{held:?}");
        } else {
            assert!(relief.callers + closed > 0, "{held:?}");
            admitted_by_relief += 1;
        }
    }
    assert!(admitted_by_relief > 1_000);
}

/// Guards against callers that lose their connections while idle ones to servers are kept.
#[test]
fn idle_connections_to_servers_give_way_before_callers() {
    let account = DescriptorAccount::new(MAX);
    let held = DescriptorUse {
        callers: 10,
        idle_callers: 10,
        server_connections: 8,
        idle_server_connections: 2,
    };
    let relief = account.relief(&held);
    assert_eq!((relief.server_connections, relief.callers), (2, 1));
    assert!(relief.admits);
}
