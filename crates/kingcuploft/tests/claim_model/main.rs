//! The claims of one key, explored exhaustively: every order of resends through several VMs, lost answers, late writes,
//! stale reads, timeouts and pauses, over the product's own state machine.

mod model;

use std::time::Instant;

use model::{Bounds, TWO_RUNS, Variant, World};

const PRODUCT: Bounds = Bounds {
    vms: 2,
    requests: 3,
    faults: 1,
    seals: false,
    variant: Variant::Product,
};

#[test]
fn at_most_one_run_whatever_the_store_loses_delays_or_remembers() {
    let bounds = [
        PRODUCT,
        Bounds {
            requests: 2,
            faults: 2,
            ..PRODUCT
        },
        Bounds {
            vms: 3,
            faults: 0,
            ..PRODUCT
        },
        Bounds {
            requests: 2,
            seals: true,
            ..PRODUCT
        },
        Bounds {
            faults: 0,
            seals: true,
            ..PRODUCT
        },
    ];
    for bounds in bounds {
        let began = Instant::now();
        let (states, faults) = World::new(bounds).explore();
        println!("{bounds:?}: {states} states in {:?}", began.elapsed());
        assert!(faults.is_empty(), "{bounds:?}: {faults:?}");
        assert!(states > 100, "{bounds:?}: only {states} states");
    }
}

#[test]
fn the_checker_finds_each_broken_variant() {
    let broken = |variant, faults| {
        let bounds = Bounds {
            requests: 2,
            faults,
            variant,
            ..PRODUCT
        };
        World::new(bounds).explore().1
    };
    assert!(broken(Variant::LeaseReaped, 0).contains(TWO_RUNS));
    assert!(broken(Variant::SentBeforeReadBack, 1).contains(TWO_RUNS));
}
