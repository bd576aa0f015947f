//! Shrinks a day that breaks a rule: to the fewest disruptions that still break it, with shorter durations and a
//! shorter day.

use crate::day::{Day, DisruptionKind};
use crate::rules::Rule;
use crate::search::check_day;

/// The duration of each disruption is halved at most this many times.
const MAX_HALVINGS: usize = 3;

/// Returns whether the day breaks the rule; a day that can't be run breaks none.
fn breaks(day: &Day, rule: Rule) -> bool {
    let usages = check_day(day).unwrap_or_default();
    usages
        .iter()
        .any(|usage| usage.rule == rule && usage.is_broken())
}

/// Returns the day without the disruptions, durations and length that it can lose while it still breaks the rule.
pub fn shrink(day: &Day, rule: Rule) -> Day {
    let mut smallest = without_unneeded_disruptions(day, rule);
    for at in 0..smallest.disruptions.len() {
        for _ in 0..MAX_HALVINGS {
            let mut shorter = smallest.clone();
            shorter.disruptions[at].for_ms /= 2;
            smallest = if breaks(&shorter, rule) {
                shorter
            } else {
                break;
            };
        }
    }
    let smallest = with_fewer_entries(smallest, rule);
    let last = smallest
        .disruptions
        .iter()
        .map(|d| d.at_ms + d.for_ms)
        .max();
    let mut shorter = smallest.clone();
    shorter.length_ms = (last.unwrap_or(0) + 5_000).min(smallest.length_ms);
    match breaks(&shorter, rule) {
        true => shorter,
        false => smallest,
    }
}

/// Returns the day without the disruptions that are not needed to break the rule.
fn without_unneeded_disruptions(day: &Day, rule: Rule) -> Day {
    let mut smallest = day.clone();
    let mut at = 0;
    while at < smallest.disruptions.len() {
        let mut fewer = smallest.clone();
        fewer.disruptions.remove(at);
        match breaks(&fewer, rule) {
            true => smallest = fewer,
            false => at += 1,
        }
    }
    smallest
}

/// Returns the day with one entry of other writers wherever that still breaks the rule.
fn with_fewer_entries(day: Day, rule: Rule) -> Day {
    let mut smallest = day;
    for at in 0..smallest.disruptions.len() {
        if smallest.disruptions[at].kind != DisruptionKind::ForeignEntries {
            continue;
        }
        let mut fewer = smallest.clone();
        fewer.disruptions[at].strength = 1.0;
        if breaks(&fewer, rule) {
            smallest = fewer;
        }
    }
    smallest
}
