//! The settings that a start waits for, explored over all orders in which a writer may change the file.

use std::time::{Duration, Instant};

use kingcuploft::entry::start::{SettingsQuality, SettingsVerdict, SettingsWait};

/// How often the file is read.
const INTERVAL: Duration = Duration::from_millis(50);

/// How many readings in a row must give the same doubtful text, the first of them included.
const SETTLED_READINGS: usize = 5;

/// How many readings are explored: more than a text takes to settle, be disturbed, and settle again.
const DEPTH: usize = 8;

/// What a reading finds in the file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// No file.
    Nothing,
    /// A text without a field that is needed.
    Short,
    /// A text that ends within its last line.
    Cut,
    /// A text with a part that can't be used and that the VM can do without.
    PartlyUsable,
    /// A text of which all can be used.
    Sound,
}

const ALL: [Found; 5] = [
    Found::Nothing,
    Found::Short,
    Found::Cut,
    Found::PartlyUsable,
    Found::Sound,
];

/// Reads the file once, as the process does; returns whether it starts with what was found.
fn reads_and_starts(wait: &mut SettingsWait, now: Instant, found: Found) -> bool {
    let (text, quality) = match found {
        Found::Nothing => {
            wait.record_missing();
            return false;
        }
        Found::Short => ("node=a\n", SettingsQuality::Unusable),
        Found::Cut => ("node=a\nzone=b", SettingsQuality::Sound),
        Found::PartlyUsable => ("node=a\nzone=b\nx=?\n", SettingsQuality::PartlyUsable),
        Found::Sound => ("node=a\nzone=b\nx=1\n", SettingsQuality::Sound),
    };
    wait.record_text(now, text);
    wait.is_whole(now) && wait.judge(now, quality) == SettingsVerdict::Use
}

/// Returns whether the process should start with the last of these readings.
fn should_start(readings: &[Found]) -> bool {
    let Some((last, before)) = readings.split_last() else {
        return false;
    };
    let same = before.iter().rev().take_while(|found| *found == last);
    let has_settled = same.count() + 1 >= SETTLED_READINGS;
    match last {
        Found::Nothing | Found::Short => false,
        Found::Cut | Found::PartlyUsable => has_settled,
        Found::Sound => true,
    }
}

/// Returns the orders of readings after which the process starts and should not, or does not and should.
fn wrong_orders() -> Vec<Vec<Found>> {
    let began = Instant::now();
    let mut wrong = Vec::new();
    for number in 0..ALL.len().pow(DEPTH as u32) {
        let mut wait = SettingsWait::default();
        let mut readings = Vec::new();
        let mut rest = number;
        for reading in 0..DEPTH {
            let found = ALL[rest % ALL.len()];
            rest /= ALL.len();
            readings.push(found);
            let now = began + INTERVAL * reading as u32;
            let starts = reads_and_starts(&mut wait, now, found);
            if starts != should_start(&readings) {
                wrong.push(readings);
                break;
            }
            if starts {
                break;
            }
        }
    }
    wrong
}

/// Guards against a VM that starts with a part of its settings while they are being written, or does not start with all.
#[test]
fn a_start_takes_a_doubtful_file_only_once_it_has_stayed_the_same_for_a_while() {
    let wrong = wrong_orders();
    let first = wrong.iter().min_by_key(|readings| readings.len());
    assert!(
        wrong.is_empty(),
        "{} orders, one of them {first:?}",
        wrong.len()
    );
}
