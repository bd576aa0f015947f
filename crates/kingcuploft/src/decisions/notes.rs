//! What VMs tell each other about full backend servers.
//!
//! Load pattern: a backend server turns slow from one millisecond to the next. The first VM whose
//! call comes back sees the queue there; the other thirteen go on sending until a call of their own
//! comes back, each one late.
//!
//! Telling every change would cost far more than the users allow (2 KB a second on a node, all
//! told): a message to thirteen peers is about 900 bytes. So one bit is told, by the VM that sees it
//! first, when a server turns full and when it is free again; the two bounds lie apart so that a
//! server at the bound is not told again and again. Over the budget notes are dropped and counted:
//! a lost note costs some latency, never a promise.

use std::time::{Duration, Instant};

use crate::settings::notes::NotesSettings;

/// The bytes of one message besides its entries: TCP, IP and the frame.
pub const MESSAGE_BYTES: usize = 64;
/// The bytes of one entry.
pub const ENTRY_BYTES: usize = 4;
/// The longest time without notes whose budget may be spent at once.
const BURST: Duration = Duration::from_secs(2);

/// The load of one backend server, told to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadNote {
    /// The index of the backend server in the manifest of the message's generation.
    pub server: u16,
    /// Its load when it was reported to the teller.
    pub in_flight: u8,
}

/// The notes of one service on one VM.
#[derive(Debug)]
pub struct LoadNotes {
    settings: NotesSettings,
    servers: Vec<KnownMember>,
    pending: Vec<LoadNote>,
    due: Option<Instant>,
    budget_bytes: f64,
    filled: Option<Instant>,
    dropped: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownMember {
    slots: f64,
    full: bool,
}

impl LoadNotes {
    /// Builds the state in which no backend server was told full.
    pub fn new(settings: &NotesSettings, slots: impl Iterator<Item = u32>) -> Self {
        let known = |slots: u32| KnownMember {
            slots: f64::from(slots),
            full: false,
        };
        Self {
            settings: settings.clone(),
            servers: slots.map(known).collect(),
            pending: Vec::new(),
            due: None,
            budget_bytes: 0.0,
            filled: None,
            dropped: 0,
        }
    }

    /// Takes a load report in; a backend server that turned full or free is noted.
    pub fn record_report(&mut self, now: Instant, server: usize, in_flight: u32) {
        if self.settings.bytes_per_second <= 0.0 || !self.turned(server, in_flight) {
            return;
        }
        self.pending
            .retain(|note| usize::from(note.server) != server);
        if let Ok(number) = u16::try_from(server) {
            self.pending.push(LoadNote {
                server: number,
                in_flight: in_flight.min(u32::from(u8::MAX)) as u8,
            });
        }
        let batch = Duration::from_secs_f64(self.settings.batch_ms / 1000.0);
        self.due.get_or_insert(now + batch);
    }

    /// Takes a peer's note in: what it told need not be told again.
    pub fn record_peer_note(&mut self, note: LoadNote) {
        let server = usize::from(note.server);
        if server < self.servers.len() {
            self.turned(server, u32::from(note.in_flight));
            self.pending.retain(|pending| pending.server != note.server);
        }
    }

    /// Returns when notes are to be sent.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the notes that are due for `peers` peers; none where the budget does not cover them.
    pub fn take_due(&mut self, now: Instant, peers: usize) -> Option<Vec<LoadNote>> {
        self.due.take_if(|due| *due <= now)?;
        let notes = std::mem::take(&mut self.pending);
        if notes.is_empty() || peers == 0 {
            return None;
        }
        self.fill(now);
        let bytes = (peers * message_bytes(notes.len())) as f64;
        if self.budget_bytes < bytes {
            self.dropped += notes.len() as u64;
            return None;
        }
        self.budget_bytes -= bytes;
        Some(notes)
    }

    /// Returns how many notes the budget did not cover.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn turned(&mut self, server: usize, in_flight: u32) -> bool {
        let known = &mut self.servers[server];
        let per_slot = f64::from(in_flight) / known.slots;
        let full = match known.full {
            true => per_slot >= self.settings.free_calls_per_slot,
            false => per_slot >= self.settings.full_calls_per_slot,
        };
        std::mem::replace(&mut known.full, full) != full
    }

    fn fill(&mut self, now: Instant) {
        let most = self.settings.bytes_per_second * BURST.as_secs_f64();
        let elapsed = self.filled.map(|at| now.saturating_duration_since(at));
        let earned = elapsed.map_or(most, |elapsed| {
            elapsed.as_secs_f64() * self.settings.bytes_per_second
        });
        self.budget_bytes = (self.budget_bytes + earned).min(most);
        self.filled = Some(now);
    }
}

/// Returns the bytes of one message to one peer.
pub fn message_bytes(notes: usize) -> usize {
    MESSAGE_BYTES + notes * ENTRY_BYTES
}
