//! Generates random days, and mutates and splices existing ones.

use fastrand::Rng;

use crate::day::{self, Day, Disruption, DisruptionKind, ServerCut};
use crate::list_fault::{ListFault, ListedCollection};

/// The length of a generated day, in milliseconds.
const LENGTH_MS: u64 = 24_000;

/// The earliest time of a disruption, in milliseconds.
const DISRUPTIONS_FROM_MS: u64 = 1_000;

/// The latest time of a disruption, in milliseconds.
const DISRUPTIONS_UNTIL_MS: u64 = 18_000;

/// The greatest number of disruptions of a generated day.
const MAX_GENERATED_DISRUPTIONS: usize = 4;

/// How often servers start while the store loses answers, and which share of them each time.
const CHANGES_DURING_LOSS: usize = 4;
const SMALL_SHARE: f64 = 0.1;

/// The chance of trouble with the store's lists in a generated day, and of each of its disruptions.
const LIST_TROUBLE_CHANCE: f64 = 0.2;
const LIST_DISRUPTION_CHANCE: f64 = 0.75;

/// The duration of a disruption that lasts to the end of any generated day, in milliseconds.
const FOR_GOOD_MS: u64 = 60_000;

/// How long after trouble with lists has begun VMs are killed at the latest, and for how long at most, in milliseconds.
const MAX_KILL_DELAY_MS: u64 = 2_000;

/// The greatest number of disruptions that a day reaches by mutation or splicing.
const MAX_DISRUPTIONS: usize = 8;

/// The greatest shift of a disruption's time by one mutation, in milliseconds: it stays within a window of any bound.
const MAX_SHIFT_MS: i64 = 3_000;

/// Generates a day for a deployment.
pub fn generate(rng: &mut Rng, deployment: &str) -> Day {
    let count = rng.usize(1..=MAX_GENERATED_DISRUPTIONS);
    let mut disruptions: Vec<_> = (0..count).map(|_| disruption(rng, deployment)).collect();
    if let Some(loss) = disruptions
        .iter()
        .find(|d| d.kind == DisruptionKind::StoreLosesAnswers)
    {
        let changes = changes_during(rng, loss);
        disruptions.extend(changes);
    }
    let seed = rng.u64(1..1_000_000);
    // Drawn last, so that all else of the day is the same with and without.
    if rng.f64() < LIST_TROUBLE_CHANCE {
        disruptions.extend(list_trouble(rng));
    }
    ordered(Day {
        deployment: deployment.into(),
        seed,
        length_ms: LENGTH_MS,
        disruptions,
    })
}

/// Returns trouble with the store's lists, and VMs killed meanwhile, which need the lists when they are back.
fn list_trouble(rng: &mut Rng) -> Vec<Disruption> {
    let at_ms = rng.u64(DISRUPTIONS_FROM_MS..DISRUPTIONS_UNTIL_MS);
    let for_ms = [5_000, FOR_GOOD_MS][rng.usize(0..2)];
    let kinds = [
        DisruptionKind::StorePages,
        DisruptionKind::ForeignEntries,
        DisruptionKind::StoreFailsLists,
    ];
    let mut trouble: Vec<_> = kinds
        .into_iter()
        .map(|kind| list_disruption(rng, kind, at_ms, for_ms))
        .collect();
    trouble.push(kill(rng, at_ms));
    let is_drawn = |_: &Disruption| rng.f64() < LIST_DISRUPTION_CHANCE;
    trouble.into_iter().filter(is_drawn).collect()
}

fn list_disruption(rng: &mut Rng, kind: DisruptionKind, at_ms: u64, for_ms: u64) -> Disruption {
    let mut disruption = Disruption {
        at_ms,
        kind,
        share: 1.0,
        strength: strength(rng, kind),
        for_ms,
        how: ServerCut::default(),
        service: None,
        lists: ListFault::default(),
        collection: None,
    };
    draw_list_fault(rng, &mut disruption);
    disruption
}

/// Draws how lists fail, and which, where a disruption has them fail.
fn draw_list_fault(rng: &mut Rng, disruption: &mut Disruption) {
    if disruption.kind == DisruptionKind::StoreFailsLists {
        disruption.lists = ListFault::ALL[rng.usize(0..ListFault::ALL.len())];
        let all = ListedCollection::ALL;
        disruption.collection = Some(all[rng.usize(0..all.len())]);
    }
}

/// Returns a disruption that kills most or all VMs of a zone, or of all zones, shortly after a moment.
fn kill(rng: &mut Rng, after_ms: u64) -> Disruption {
    let (kind, share) = [
        (DisruptionKind::ZoneKilled, 0.8),
        (DisruptionKind::ZoneKilled, 1.0),
        (DisruptionKind::VmsKilled, 0.6),
        (DisruptionKind::VmsKilled, 1.0),
    ][rng.usize(0..4)];
    let at_ms = after_ms + rng.u64(0..MAX_KILL_DELAY_MS);
    let for_ms = rng.u64(500..MAX_KILL_DELAY_MS);
    Disruption {
        share,
        ..list_disruption(rng, kind, at_ms, for_ms)
    }
}

/// Returns changes of the store's entries while answers are lost: one that may be lost, and others that go on.
fn changes_during(rng: &mut Rng, loss: &Disruption) -> Vec<Disruption> {
    let mut kinds = vec![DisruptionKind::ServersStart; CHANGES_DURING_LOSS];
    kinds.push(DisruptionKind::ConfigurationChange);
    let changes = kinds.into_iter().map(|kind| Disruption {
        at_ms: loss.at_ms + rng.u64(0..loss.for_ms),
        kind,
        share: SMALL_SHARE,
        ..loss.clone()
    });
    changes.collect()
}

/// Returns the kinds of disruptions that a deployment has.
fn kinds(deployment: &str) -> Vec<DisruptionKind> {
    let mut kinds = DisruptionKind::ALL.to_vec();
    if day::deployment(deployment).is_some_and(|known| !known.workspaces.is_empty()) {
        kinds.extend(DisruptionKind::OF_WORKSPACES);
    }
    kinds
}

fn disruption(rng: &mut Rng, deployment: &str) -> Disruption {
    let kinds = kinds(deployment);
    let kind = kinds[rng.usize(0..kinds.len())];
    Disruption {
        at_ms: rng.u64(DISRUPTIONS_FROM_MS..DISRUPTIONS_UNTIL_MS),
        kind,
        share: share(rng),
        strength: strength(rng, kind),
        for_ms: rng.u64(500..10_000),
        how: server_cut(rng, kind),
        service: None,
        lists: ListFault::default(),
        collection: None,
    }
}

fn server_cut(rng: &mut Rng, kind: DisruptionKind) -> ServerCut {
    match kind.cuts_from_servers() {
        true => ServerCut::ALL[rng.usize(0..ServerCut::ALL.len())],
        false => ServerCut::default(),
    }
}

fn share(rng: &mut Rng) -> f64 {
    [0.1, 0.3, 0.6, 1.0][rng.usize(0..4)]
}

fn strength(rng: &mut Rng, kind: DisruptionKind) -> f64 {
    match kind {
        DisruptionKind::ServersRefuse | DisruptionKind::ServersLoseAnswers => {
            [0.1, 0.3, 0.6][rng.usize(0..3)]
        }
        DisruptionKind::DeadlyRequests => [0.01, 0.05][rng.usize(0..2)],
        DisruptionKind::ServersNameLimits => [1.0, 3.0][rng.usize(0..2)],
        DisruptionKind::ServersSlow => [3.0, 8.0, 20.0][rng.usize(0..3)],
        DisruptionKind::ServersPause => [0.6, 2.0, 5.0][rng.usize(0..3)],
        DisruptionKind::Crowd => [1.5, 2.0, 3.0][rng.usize(0..3)],
        DisruptionKind::WorkspaceCrowd => [3.0, 8.0, 20.0][rng.usize(0..3)],
        DisruptionKind::QuotasLowered => [0.05, 0.3][rng.usize(0..2)],
        DisruptionKind::StorePages | DisruptionKind::ForeignEntries => {
            [1.0, 3.0, 10.0][rng.usize(0..3)]
        }
        _ => 1.0,
    }
}

/// Returns a copy of a day with one or two mutations.
pub fn mutate(rng: &mut Rng, day: &Day) -> Day {
    let mut day = day.clone();
    for _ in 0..rng.usize(1..=2) {
        mutate_once(rng, &mut day);
    }
    ordered(day)
}

/// Returns a day with a random selection of the disruptions of two others.
pub fn splice(rng: &mut Rng, day: &Day, other: &Day) -> Day {
    let mut spliced = day.clone();
    spliced
        .disruptions
        .extend(other.disruptions.iter().cloned());
    rng.shuffle(&mut spliced.disruptions);
    spliced.disruptions.truncate(MAX_DISRUPTIONS);
    ordered(spliced)
}

fn mutate_once(rng: &mut Rng, day: &mut Day) {
    let count = day.disruptions.len();
    if count == 0 {
        return day.disruptions.push(disruption(rng, &day.deployment));
    }
    let at = rng.usize(0..count);
    let chosen = &mut day.disruptions[at];
    match rng.u32(0..8) {
        0 => day.seed = rng.u64(1..1_000_000),
        1 => {
            let moved = chosen.at_ms as i64 + rng.i64(-MAX_SHIFT_MS..=MAX_SHIFT_MS);
            let (least, most) = (DISRUPTIONS_FROM_MS as i64, DISRUPTIONS_UNTIL_MS as i64);
            chosen.at_ms = moved.clamp(least, most) as u64;
        }
        2 => chosen.share = share(rng),
        3 => {
            chosen.strength = strength(rng, chosen.kind);
            draw_list_fault(rng, chosen);
        }
        4 => chosen.for_ms = rng.u64(500..12_000),
        5 | 6 if count < MAX_DISRUPTIONS => {
            // A repetition of the same disruption soon after the first.
            let mut again = chosen.clone();
            again.at_ms = (again.at_ms + rng.u64(500..5_000)).min(DISRUPTIONS_UNTIL_MS);
            day.disruptions.push(again);
        }
        5 | 6 => {
            day.disruptions.remove(at);
        }
        _ if count < MAX_DISRUPTIONS => {
            let added = disruption(rng, &day.deployment);
            day.disruptions.push(added);
        }
        _ => day.disruptions[at] = disruption(rng, &day.deployment),
    }
}

fn ordered(mut day: Day) -> Day {
    day.disruptions.sort_by_key(|disruption| disruption.at_ms);
    day
}
