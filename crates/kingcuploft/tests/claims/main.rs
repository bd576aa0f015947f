//! The claims of several VMs over one store that fails, in virtual time.

mod world;

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbtest;
use kingcuploft::decisions::claim::ledger::{Claimant, Entry, EntryState, Head, Record};
use kingcuploft::decisions::claim::message::{
    ClaimCommand, ClaimEvent, StoreFailure, StoredObject, Verdict,
};
use kingcuploft::settings::claim::ClaimSettings;
use std::sync::Arc;

use world::{WINDOW, World, bytes, record};

fn replayed(body: &[u8]) -> Verdict {
    Verdict::Replay(Arc::new(record(body)))
}

/// Load pattern: fourteen VMs claim at the same moment, all over the same object, and each caller resends through every
/// VM, so writes conflict again and again. Each key is held once, every claim is decided in time, and later duplicates
/// get the recorded answer.
#[test]
fn a_storm_of_conflicts_holds_each_key_once() {
    let mut world = World::new(14, ClaimSettings::default());
    let id = |vm: usize, key: u128| key as u64 * 100 + vm as u64;
    for key in 0..10 {
        for vm in 0..14 {
            world.claim(vm, id(vm, key), key);
        }
    }
    world.run(Duration::from_millis(900));
    assert_eq!(world.verdicts.len(), 140, "a claim was not decided in time");
    for key in 0..10 {
        let holders: Vec<usize> = (0..14)
            .filter(|vm| world.verdicts[&id(*vm, key)] == Verdict::Held)
            .collect();
        assert_eq!(holders.len(), 1, "key {key} is held by {holders:?}");
        world.answer(holders[0], id(holders[0], key), &[key as u8]);
    }
    world.settle();
    assert!(world.conflicts > 0, "there was no storm");
    for key in 0..10 {
        let duplicate = 10_000 + key as u64;
        world.claim(3, duplicate, key);
        world.settle();
        assert_eq!(world.verdicts[&duplicate], replayed(&[key as u8]));
    }
}

/// Load pattern: a partition lives for long, so its head is sealed again and again, and segments are grouped under
/// indexes. A VM that starts then knows every key of the window from few reads, and answers each duplicate with its own
/// record. After the window the objects are deleted.
#[test]
fn sealed_keys_are_remembered_for_the_window_and_their_objects_end_with_it() {
    let settings = ClaimSettings {
        seal_bytes: 4_000,
        segments_per_index: 4,
        // Each claim is checked 30 ms later, so none may wait for write pacing.
        fleet_writes_per_s: 1_000_000,
        ..ClaimSettings::default()
    };
    let slack = Duration::from_secs(settings.clock_slack_s);
    let mut world = World::new(2, settings);
    for key in 0..600_u64 {
        let vm = (key % 2) as usize;
        world.claim(vm, key, u128::from(key));
        world.run(Duration::from_millis(30));
        assert_eq!(world.verdicts[&key], Verdict::Held, "{key}");
        world.answer(vm, key, &key.to_le_bytes());
    }
    world.settle();
    let (_, StoredObject::Head(head)) = &world.objects["claims/000/head"] else {
        panic!("no head");
    };
    assert!(head.indexes.len() > 2, "{head:?}");
    assert!(bytes(&StoredObject::Head(Arc::clone(head))) < 40_000);
    let fresh = world.add_vm(0);
    for key in (0..600).step_by(7) {
        let duplicate = 10_000 + key;
        world.claim(fresh, duplicate, u128::from(key));
        world.run(Duration::from_millis(400));
        assert_eq!(world.verdicts[&duplicate], replayed(&key.to_le_bytes()));
    }
    let during = world.objects.len();
    world.jump(WINDOW + slack);
    for key in 0..20_u64 {
        world.claim(fresh, 20_000 + key, u128::from(key));
        world.run(Duration::from_secs(1));
        assert_eq!(world.verdicts[&(20_000 + key)], Verdict::Held, "{key}");
        world.command(fresh, ClaimCommand::Release(20_000 + key));
    }
    world.run(Duration::from_secs(2));
    let after = world.objects.len();
    assert!(during > 20 && after <= 3, "{during} objects, then {after}");
}

/// Failure: a caller claims through a VM whose clock is fast and resends, just before the window ends, through one
/// whose clock is slow, and the other way round. Time slots cut by each VM's own clock would put the two claims into
/// different slots. The clock slack keeps the key until the window is over on every clock.
#[test]
fn skewed_clocks_do_not_shorten_the_window() {
    let settings = ClaimSettings::default();
    let half_ms = settings.clock_slack_s as i64 * 500;
    for (first, second) in [(half_ms, -half_ms), (-half_ms, half_ms)] {
        let mut world = World::new(0, settings.clone());
        let first = world.add_vm(first);
        let second = world.add_vm(second);
        world.claim(first, 1, 7);
        world.settle();
        world.answer(first, 1, b"beds");
        world.settle();
        world.jump(WINDOW - Duration::from_secs(2));
        // Other keys keep the second VM writing, so that it would drop what has expired.
        for other in 0..3 {
            world.claim(second, 100 + other, 100 + u128::from(other));
            world.settle();
        }
        world.claim(second, 2, 7);
        world.settle();
        assert_eq!(world.verdicts[&2], replayed(b"beds"));
    }
}

/// Failure: the store stops answering with a claim's write on the way. The caller is refused with "not run" while the
/// write may yet arrive. When the store is back, the claim is found and released, so that the caller's next try runs.
#[test]
fn a_refused_claim_that_a_late_write_carried_is_taken_back() {
    let mut world = World::new(2, ClaimSettings::default());
    world.settle();
    world.outage = Some(StoreFailure::NoAnswer);
    world.claim(0, 1, 7);
    world.run(Duration::from_millis(1000));
    let verdict = world.verdicts.get(&1);
    assert!(
        matches!(verdict, Some(Verdict::Unavailable { .. })),
        "{verdict:?}"
    );
    world.outage = None;
    // The write that had no answer did take effect, as another VM's read would find.
    let entry = Entry {
        key: 7,
        fingerprint: 1,
        claimant: Claimant {
            vm: "entry-0".into(),
            incarnation: 1,
            nonce: 1,
        },
        claimed_ms: 0,
        expires_ms: u64::MAX,
        state: EntryState::Claimed,
    };
    let mut head = Head::default();
    head.entries.insert(7, entry);
    let stored = (1_000, StoredObject::Head(Arc::new(head)));
    world.objects.insert("claims/000/head".into(), stored);
    world.settle();
    assert!(world.events.contains(&ClaimEvent::Released));
    world.claim(1, 2, 7);
    world.settle();
    assert_eq!(world.verdicts[&2], Verdict::Held);
}

/// Failure: the store is down. Claims are refused at once, with the time of the next probe; a key that was seen claimed
/// before is not called "not run". The store's return is noticed without a claim.
#[test]
fn an_outage_refuses_at_once_and_its_end_is_noticed() {
    let mut world = World::new(2, ClaimSettings::default());
    world.claim(0, 1, 7);
    world.settle();
    world.claim(1, 2, 8);
    world.settle();
    let retry_after = Duration::from_millis(300);
    world.outage = Some(StoreFailure::Down { retry_after });
    world.claim(1, 3, 9);
    world.run(Duration::from_millis(20));
    let verdict = &world.verdicts[&3];
    assert!(
        matches!(verdict, Verdict::Unavailable { .. }),
        "{verdict:?}"
    );
    world.claim(1, 4, 10);
    assert!(matches!(world.verdicts[&4], Verdict::Unavailable { .. }));
    // Key 7 was claimed through the other VM: whether it ran is not known here.
    world.claim(1, 5, 7);
    assert_eq!(world.verdicts[&5], Verdict::InProgress);
    world.outage = None;
    world.run(Duration::from_millis(400));
    world.claim(1, 6, 11);
    world.settle();
    assert_eq!(world.verdicts[&6], Verdict::Held);
}

/// Load pattern: many actions of one partition run at once, for so long that their claims fill its object. The next
/// claim is refused before it would make the object too large for the store, and no recorded answer is lost silently:
/// it is kept as "ran".
#[test]
fn a_full_object_refuses_claims_and_shortens_records() {
    let settings = ClaimSettings {
        object_bytes: 8_000,
        ..ClaimSettings::default()
    };
    let mut world = World::new(1, settings);
    for id in 0..40_u64 {
        world.claim(0, id, u128::from(id));
    }
    world.settle();
    let held = world.verdicts.values().filter(|v| **v == Verdict::Held);
    let held = held.count();
    let full = world.verdicts.values().filter(|v| **v == Verdict::Full);
    assert_eq!(full.count(), 40 - held);
    assert!((10..30).contains(&held), "{held}");
    for id in 0..held as u64 {
        world.answer(0, id, &[b'x'; 2_000]);
    }
    world.settle();
    let largest = world.objects.values().map(|(_, value)| bytes(value)).max();
    assert!(largest.unwrap() <= 8_000, "{largest:?}");
    world.claim(0, 100, 0);
    world.claim(0, 101, held as u128 - 1);
    world.settle();
    assert_eq!(world.verdicts[&100], Verdict::AlreadyRan);
    assert_eq!(world.verdicts[&101], Verdict::AlreadyRan);
}

/// Failure: a caller uses one key for two different holds. The second is refused and never run, on the VM that has the
/// first in flight and on another.
#[test]
fn a_key_used_with_another_content_is_refused() {
    let mut world = World::new(2, ClaimSettings::default());
    world.claim_content(0, 1, 7, 1);
    world.settle();
    world.claim_content(0, 2, 7, 2);
    world.claim_content(1, 3, 7, 2);
    world.settle();
    assert_eq!(world.verdicts[&2], Verdict::Reused);
    assert_eq!(world.verdicts[&3], Verdict::Reused);
}

/// Failure: a VM dies with a claim held. Whether its request was sent is not known, so the action is never run again
/// within the window, and every duplicate is told so.
#[test]
fn a_dead_claimants_key_is_never_taken_over() {
    let mut world = World::new(2, ClaimSettings::default());
    world.claim(0, 1, 7);
    world.settle();
    for (id, pause) in [(2, 0), (3, 60), (4, WINDOW.as_secs() - 100)] {
        world.jump(Duration::from_secs(pause));
        world.claim(1, id, 7);
        world.settle();
        assert_eq!(world.verdicts[&id], Verdict::InProgress);
    }
    // The VM was paused, not dead: its answer is recorded when it resumes.
    world.answer(0, 1, b"beds");
    world.settle();
    world.claim(1, 5, 7);
    world.settle();
    assert_eq!(world.verdicts[&5], replayed(b"beds"));
}

#[test]
fn many_claims_share_a_write() {
    let mut world = World::new(1, ClaimSettings::default());
    world.settle();
    let before = world.writes;
    for id in 0..100 {
        world.claim(0, id, u128::from(id));
    }
    world.settle();
    assert_eq!(world.writes - before, 1);
    assert!(world.events.contains(&ClaimEvent::Group(100)));
}

#[test]
fn an_entry_is_never_longer_than_its_bound_and_keeps_every_byte() {
    arbtest(|u| {
        let headers: Vec<(String, String)> = u.arbitrary()?;
        let body: Vec<u8> = u.arbitrary()?;
        let vm: String = u.arbitrary()?;
        let entry = Entry {
            key: u.arbitrary()?,
            fingerprint: u.arbitrary()?,
            claimant: Claimant {
                vm: vm.as_str().into(),
                incarnation: u.arbitrary()?,
                nonce: u.arbitrary()?,
            },
            claimed_ms: u.arbitrary()?,
            expires_ms: u.arbitrary()?,
            state: EntryState::Answered(Arc::new(Record {
                status: u.arbitrary()?,
                headers,
                body,
            })),
        };
        let text = serde_json::to_string(&entry).unwrap();
        assert!(text.len() <= entry.bytes(), "{} {text}", entry.bytes());
        assert_eq!(serde_json::from_str::<Entry>(&text).unwrap(), entry);
        Ok(())
    })
    .seed(0x5eed_0000_0400);
    let every: Vec<u8> = (0..=255).collect();
    let text = serde_json::to_string(&record(&every)).unwrap();
    let back: Record = serde_json::from_str(&text).unwrap();
    assert_eq!(back.body, every);
}

/// Load pattern: fourteen VMs claim ten actions a second between them. Each VM's copy of the head is stale whenever it
/// writes, so a write without a read just before it conflicts: the store gets three writes per action instead of less
/// than two. A read just after the VM's own write, not before its next, does not help.
#[test]
fn vms_that_claim_seldom_lose_few_writes() {
    let mut world = World::new(14, ClaimSettings::default());
    world.settle();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut running = VecDeque::new();
    for id in 0..200_u64 {
        let vm = rng.usize(0..14);
        world.claim(vm, id, u128::from(id));
        running.push_back((vm, id));
        world.run(Duration::from_millis(rng.u64(1..200)));
        let held = |id| world.verdicts.get(&id) == Some(&Verdict::Held);
        let ends: Vec<_> = running
            .iter()
            .copied()
            .filter(|(_, id)| held(*id))
            .collect();
        running.retain(|running| !ends.contains(running));
        for (vm, id) in ends {
            world.answer(vm, id, b"beds");
        }
    }
    let (writes, conflicts) = (world.writes, world.conflicts);
    assert!(writes <= 400, "{writes} writes for 200 actions");
    assert!(conflicts <= 60, "{conflicts} conflicts for 200 actions");
}
