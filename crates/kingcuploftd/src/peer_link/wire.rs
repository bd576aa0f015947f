//! Converts between the Cap'n Proto types of the peer schema and the types of the decisions, and bounds what peers
//! send.

use std::net::SocketAddr;

use kingcuploft::decisions::membership::{Member, MemberState};
use kingcuploft::decisions::notes::LoadNote;
use kingcuploft::dispatcher::PeerNotes;
use kingcuploft::world::ids::Generation;

use super::peer_capnp::{beat, drain, member, peer};
use crate::fleet_state::DrainNotice;

/// The longest accepted name or zone, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The most accepted load notes in one message.
const MAX_NOTES: u32 = 1024;

/// A heartbeat.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    /// The active generation; 0 for none.
    pub generation: Generation,
    /// The first bytes of its root's hash.
    pub root_hash: u64,
    /// The number of heartbeats that the sender has sent.
    pub beat: u32,
    /// A digest of the members that the sender considers live.
    pub digest: u32,
    /// Recent membership changes.
    pub gossip: Vec<Member>,
}

impl Heartbeat {
    /// Writes the heartbeat into a message.
    pub fn write(&self, mut to: beat::Builder<'_>) {
        to.set_generation(self.generation);
        to.set_root_hash(self.root_hash);
        to.set_beat(self.beat);
        to.set_digest(self.digest);
        if self.gossip.is_empty() {
            return;
        }
        let mut gossip = to.init_news(self.gossip.len() as u32);
        for (i, member) in self.gossip.iter().enumerate() {
            write_member(member, gossip.reborrow().get(i as u32));
        }
    }

    /// Reads a heartbeat from a message.
    ///
    /// # Errors
    ///
    /// Returns the library's error, or an error for a field that is malformed or too long.
    pub fn read(from: beat::Reader<'_>) -> capnp::Result<Self> {
        let gossip = from.get_news()?.iter().map(read_member);
        Ok(Self {
            generation: from.get_generation(),
            root_hash: from.get_root_hash(),
            beat: from.get_beat(),
            digest: from.get_digest(),
            gossip: gossip.collect::<capnp::Result<_>>()?,
        })
    }
}

pub(super) fn write_member(member: &Member, mut to: member::Builder<'_>) {
    to.set_name(&*member.name);
    to.set_zone(&*member.availability_zone);
    to.set_address(member.address.to_string());
    to.set_incarnation(member.incarnation);
    to.set_beat(member.beat);
    to.set_state(match member.state {
        MemberState::Live => member::State::Live,
        MemberState::Suspect => member::State::Suspect,
        MemberState::Leaving => member::State::Leaving,
        MemberState::Gone => member::State::Gone,
    });
}

pub(super) fn read_member(from: member::Reader<'_>) -> capnp::Result<Member> {
    Ok(Member {
        name: text(from.get_name()?)?.into(),
        availability_zone: text(from.get_zone()?)?.into(),
        address: address(from.get_address()?)?,
        incarnation: from.get_incarnation(),
        beat: from.get_beat(),
        state: match from.get_state()? {
            member::State::Live => MemberState::Live,
            member::State::Suspect => MemberState::Suspect,
            member::State::Leaving => MemberState::Leaving,
            member::State::Gone => MemberState::Gone,
        },
    })
}

pub(super) fn write_drain(notice: &DrainNotice, mut to: drain::Builder<'_>) {
    to.set_service(&*notice.service);
    to.set_backend_server(&*notice.backend_server);
    to.set_address(notice.address.to_string());
}

pub(super) fn read_drain(from: drain::Reader<'_>) -> capnp::Result<DrainNotice> {
    Ok(DrainNotice {
        service: text(from.get_service()?)?.into(),
        backend_server: text(from.get_backend_server()?)?.into(),
        address: address(from.get_address()?)?,
    })
}

pub(super) fn write_notes(notes: &PeerNotes, mut to: peer::notes_params::Builder<'_>) {
    to.set_service(&*notes.service);
    to.set_generation(notes.generation);
    let mut entries = to.init_entries(notes.notes.len() as u32);
    for (i, note) in notes.notes.iter().enumerate() {
        let entry = u32::from(note.server) << 8 | u32::from(note.in_flight);
        entries.set(i as u32, entry);
    }
}

pub(super) fn read_notes(from: peer::notes_params::Reader<'_>) -> capnp::Result<PeerNotes> {
    let entries = from.get_entries()?;
    if entries.len() > MAX_NOTES {
        return Err(capnp::Error::failed("too many notes".into()));
    }
    let notes = entries.iter().map(|entry| LoadNote {
        server: (entry >> 8) as u16,
        in_flight: entry as u8,
    });
    Ok(PeerNotes {
        service: text(from.get_service()?)?.into(),
        generation: from.get_generation(),
        notes: notes.collect(),
    })
}

fn text(from: capnp::text::Reader<'_>) -> capnp::Result<&str> {
    let text = from.to_str()?;
    match text.len() <= MAX_NAME_BYTES && !text.is_empty() {
        true => Ok(text),
        false => Err(capnp::Error::failed("a name is empty or too long".into())),
    }
}

fn address(from: capnp::text::Reader<'_>) -> capnp::Result<SocketAddr> {
    let parsed = text(from)?.parse();
    parsed.map_err(|_| capnp::Error::failed("an address is malformed".into()))
}
