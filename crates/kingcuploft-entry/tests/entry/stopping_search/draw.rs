//! Draws from weighted choices.

use std::ops::Range;

use fastrand::Rng;

/// Draws a choice, each with its weight.
pub(super) fn choose<T: Copy>(rng: &mut Rng, choices: &[(u32, T)]) -> T {
    let total: u32 = choices.iter().map(|(weight, _)| weight).sum();
    let mut left = rng.u32(..total);
    for (weight, choice) in choices {
        if left < *weight {
            return *choice;
        }
        left -= weight;
    }
    unreachable!("the weights add up to the total")
}

/// Draws a number from a range that is drawn by its weight.
pub(super) fn of(rng: &mut Rng, ranges: &[(u32, Range<u64>)]) -> u64 {
    let indexes: Vec<_> = ranges.iter().map(|(weight, _)| *weight).zip(0..).collect();
    let index: usize = choose(rng, &indexes);
    rng.u64(ranges[index].1.clone())
}
