use kingcuploft::entry::placement::ProbeScope;
use kingcuploft::entry::probe_fanout::probe_fanout;

/// Failure: a full zone keeps its requests to itself.
#[test]
fn a_zone_with_many_servers_also_probes_those_of_other_zones() {
    let counts = |near, far, reach| {
        let asked = probe_fanout(near, far, reach);
        (asked.near, asked.far)
    };
    assert_eq!(counts(40, 160, ProbeScope::Near), (6, 0));
    assert_eq!(counts(40, 160, ProbeScope::Far), (6, 10));
    assert_eq!(counts(3, 8, ProbeScope::Near), (3, 0));
    assert_eq!(counts(3, 8, ProbeScope::Far), (3, 8));
    assert_eq!(counts(0, 11, ProbeScope::Near), (0, 6));
}

/// Failure: all servers of a deployment stand in one zone, and a VM uses only six of its thirty.
#[test]
fn more_near_servers_are_probed_where_there_are_few_elsewhere() {
    let counts = |near, far, reach| {
        let asked = probe_fanout(near, far, reach);
        (asked.near, asked.far)
    };
    assert_eq!(counts(30, 0, ProbeScope::Near), (6, 0));
    assert_eq!(counts(30, 0, ProbeScope::FewFar), (9, 0));
    assert_eq!(counts(30, 0, ProbeScope::Far), (16, 0));
    assert_eq!(counts(30, 4, ProbeScope::Far), (12, 4));
}
