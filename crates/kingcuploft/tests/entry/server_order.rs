use std::cell::Cell;

use arbtest::arbtest;
use kingcuploft::entry::server_order::{Distance, ServerOrder, Shortlist, Suitability};

fn order(near: u64, far: u64) -> ServerOrder<u64> {
    let mut order = ServerOrder::default();
    for at in 0..near + far {
        let distance = if at < near {
            Distance::Near
        } else {
            Distance::Far
        };
        // A rank that is not the order of insertion.
        order.insert(distance, at.wrapping_mul(0x9E37_79B9_7F4A_7C15), at);
    }
    order
}

/// Returns how many servers are looked at for one request.
fn looks(order: &ServerOrder<u64>, judge: impl Fn(u64) -> Suitability) -> usize {
    let looks = Cell::new(0);
    let shortlist = order.shortlist(|server| {
        looks.set(looks.get() + 1);
        judge(*server)
    });
    assert!(!shortlist.near.is_empty() || !shortlist.far.is_empty());
    looks.get()
}

/// Guards against a choice of a server that costs more with each server that is added.
#[test]
fn a_request_looks_at_no_more_servers_of_a_large_service() {
    let of_size = |servers: u64| {
        looks(&order(servers / 6, servers - servers / 6), |_| {
            Suitability::Suitable
        })
    };
    assert_eq!(of_size(1_000), of_size(10_000));
    assert_eq!(of_size(1_000), of_size(20_000));
    let half = |server: u64| match server % 2 {
        0 => Suitability::Suitable,
        _ => Suitability::Doubtful,
    };
    let of_size = |servers: u64| looks(&order(servers / 6, servers - servers / 6), half);
    assert!(of_size(10_000) <= 2 * of_size(1_000), "{}", of_size(10_000));
}

/// Guards against a request that is refused though one server of thousands could take it.
#[test]
fn the_one_server_that_may_get_a_request_is_found() {
    let order = order(1_000, 5_000);
    let last = order.iter().next_back().copied();
    let only = |server: &u64| match Some(*server) == last {
        true => Suitability::Suitable,
        false => Suitability::Unusable,
    };
    let found = order.shortlist(only);
    assert_eq!(
        (found.near, found.far),
        (vec![], last.into_iter().collect())
    );
}

#[test]
fn servers_that_do_not_answer_are_chosen_from_only_where_all_are_like_that() {
    let order = order(3, 3);
    let doubtful_near = order.shortlist(|server| match *server < 3 {
        true => Suitability::Doubtful,
        false => Suitability::Suitable,
    });
    assert!(doubtful_near.near.is_empty());
    assert_eq!(doubtful_near.far.len(), 3);
    let all_doubtful = order.shortlist(|_| Suitability::Doubtful);
    assert_eq!((all_doubtful.near.len(), all_doubtful.far.len()), (3, 3));
}

/// The choice from the whole list, as a service of few servers has it.
fn from_whole_list(
    order: &ServerOrder<u64>,
    near: u64,
    judge: &dyn Fn(u64) -> Suitability,
) -> Shortlist<u64> {
    let grades = [
        Suitability::Suitable,
        Suitability::RunsSuspect,
        Suitability::Doubtful,
        Suitability::DoubtfulRunsSuspect,
    ];
    let of = |grade| {
        order
            .iter()
            .copied()
            .filter(move |server| judge(*server) == grade)
            .collect::<Vec<_>>()
    };
    let best = grades
        .into_iter()
        .map(of)
        .find(|servers| !servers.is_empty());
    let (near, far) = best
        .unwrap_or_default()
        .into_iter()
        .partition(|server| *server < near);
    Shortlist { near, far }
}

#[test]
fn a_small_service_is_chosen_from_whole() {
    arbtest(|u| {
        let (near, far) = (u.int_in_range(0..=16)?, u.int_in_range(0..=64)?);
        let order = order(near, far);
        let grades: Vec<u8> = (0..near + far)
            .map(|_| u.int_in_range(0..=4))
            .collect::<Result<_, _>>()?;
        let judge = |server: u64| match grades[server as usize] {
            0 => Suitability::Suitable,
            1 => Suitability::RunsSuspect,
            2 => Suitability::Doubtful,
            3 => Suitability::DoubtfulRunsSuspect,
            _ => Suitability::Unusable,
        };
        assert_eq!(
            order.shortlist(|server| judge(*server)),
            from_whole_list(&order, near, &judge)
        );
        Ok(())
    });
}

#[test]
fn servers_come_and_go_in_any_order() {
    arbtest(|u| {
        let mut order = ServerOrder::default();
        let mut expected: Vec<(bool, u64, u64)> = Vec::new();
        for server in 0..u.int_in_range(0..=40)? {
            let (is_far, rank): (bool, u64) = (u.arbitrary()?, u.int_in_range(0..=5)?);
            let distance = if is_far {
                Distance::Far
            } else {
                Distance::Near
            };
            order.insert(distance, rank, server);
            expected.push((is_far, rank, server));
            if u.ratio(1, 3)? {
                let at = u.choose_index(expected.len())?;
                let (is_far, rank, server) = expected.swap_remove(at);
                let distance = if is_far {
                    Distance::Far
                } else {
                    Distance::Near
                };
                assert_eq!(
                    order.remove(distance, rank, |other| *other == server),
                    Some(server)
                );
            }
        }
        expected.sort_unstable();
        let servers: Vec<u64> = order.iter().copied().collect();
        let expected: Vec<u64> = expected.into_iter().map(|(_, _, server)| server).collect();
        assert_eq!(servers, expected);
        assert_eq!(order.len(), servers.len());
        Ok(())
    });
}

/// Guards against servers that are out of order, and found by nobody, after many have joined or left at once.
#[test]
fn servers_that_come_and_go_together_leave_the_order_as_one_by_one() {
    arbtest(|u| {
        let (mut at_once, mut one_by_one) = (order(5, 20), order(5, 20));
        let mut added = Vec::new();
        for server in 100..100 + u.int_in_range(0..=50)? {
            let distance = if u.arbitrary()? {
                Distance::Far
            } else {
                Distance::Near
            };
            added.push((distance, u.arbitrary::<u64>()?, server));
        }
        at_once.extend(added.clone());
        for (distance, rank, server) in added {
            one_by_one.insert(distance, rank, server);
        }
        let servers = |order: &ServerOrder<u64>| order.iter().copied().collect::<Vec<_>>();
        assert_eq!(servers(&at_once), servers(&one_by_one));
        let kept = |server: &u64| !server.is_multiple_of(3);
        at_once.retain(kept);
        let expected: Vec<u64> = servers(&one_by_one).into_iter().filter(kept).collect();
        assert_eq!(servers(&at_once), expected);
        Ok(())
    });
}
