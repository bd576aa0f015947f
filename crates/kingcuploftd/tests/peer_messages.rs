//! The reader of peer messages: whatever bytes pass the framing, it returns an error and never panics.

use arbtest::arbtest;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use kingcuploft::decisions::membership::{Member, MemberState};
use kingcuploftd::peer_link::peer_capnp::beat;
use kingcuploftd::peer_link::wire::Heartbeat;

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        availability_zone: "a".into(),
        address: "10.0.0.1:7400".parse().unwrap(),
        incarnation: 7,
        beat: 9,
        state: MemberState::Suspect,
    }
}

fn message(beat: &Heartbeat) -> Vec<u8> {
    let mut message = Builder::new_default();
    beat.write(message.init_root::<beat::Builder<'_>>());
    serialize::write_message_to_words(&message)
}

fn read(bytes: &[u8]) -> capnp::Result<Heartbeat> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(1024));
    options.nesting_limit(16);
    let message = serialize::read_message(bytes, options)?;
    Heartbeat::read(message.get_root()?)
}

#[test]
fn a_heartbeat_round_trips() {
    let beat = Heartbeat {
        generation: 12,
        root_hash: 34,
        beat: 5,
        digest: 6,
        gossip: vec![member("entry-1"), member("entry-2")],
    };
    let back = read(&message(&beat)).unwrap();
    assert_eq!(
        (back.generation, back.root_hash, back.beat, back.digest),
        (12, 34, 5, 6)
    );
    assert_eq!(back.gossip, beat.gossip);
}

#[test]
fn names_that_are_empty_or_too_long_are_refused() {
    for name in [String::new(), "x".repeat(300)] {
        let beat = Heartbeat {
            gossip: vec![member(&name)],
            ..Heartbeat::default()
        };
        assert!(read(&message(&beat)).is_err());
    }
}

#[test]
fn no_bytes_make_the_reader_panic() {
    let good = message(&Heartbeat {
        gossip: vec![member("entry-1"), member("entry-2")],
        ..Heartbeat::default()
    });
    arbtest(|u| {
        let mut bytes = good.clone();
        for _ in 0..u.int_in_range(1..=8)? {
            let at = u.choose_index(bytes.len())?;
            bytes[at] = u.arbitrary()?;
        }
        bytes.truncate(u.int_in_range(0..=bytes.len())?);
        drop(read(&bytes));
        drop(read(u.bytes(u.len().min(64))?));
        Ok(())
    })
    .seed(0x5eed_0000_0080)
    .run();
}
