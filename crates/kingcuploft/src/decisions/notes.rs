//! Load notes: what VMs tell each other about full backend servers.
//!
//! Load pattern: a backend server turns slow from one millisecond to the next. The first VM whose call comes back sees
//! the queue there; the other thirteen go on sending until a call of their own comes back, each one late.
//!
//! Sending every change would cost far more than the 2 KB a second that all control traffic of a node may take
//! together: a message to thirteen peers is about 900 bytes. So one bit is sent, by the VM that sees it first, when a
//! server turns full and when it is free again; the two thresholds lie apart (hysteresis), so that a server at the
//! threshold is not reported again and again. Notes over the budget are dropped and counted: a lost note costs some
//! latency, never correctness.

use std::time::{Duration, Instant};

use crate::settings::notes::NotesSettings;

/// The bytes of one message besides its entries: TCP, IP and the frame.
pub const MESSAGE_BYTES: usize = 64;
/// The bytes of one entry.
pub const ENTRY_BYTES: usize = 4;
/// The time whose budget may be saved up and spent at once.
const MAX_BURST: Duration = Duration::from_secs(2);

/// The load of one backend server, as sent to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadNote {
    /// The index of the backend server in the manifest of the message's generation.
    pub server: u16,
    /// Its load as reported to the sender, in calls in flight.
    pub in_flight: u8,
}

/// The load notes of one service on one VM: what peers know, and what is to be sent.
#[derive(Debug)]
pub struct LoadNotes {
    settings: NotesSettings,
    servers: Vec<ReportedState>,
    pending: Vec<LoadNote>,
    due: Option<Instant>,
    budget_bytes: f64,
    refilled_at: Option<Instant>,
    dropped: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReportedState {
    slots: f64,
    full: bool,
}

impl LoadNotes {
    /// Creates the state in which no backend server was reported full.
    pub fn new(settings: &NotesSettings, slots: impl Iterator<Item = u32>) -> Self {
        let state = |slots: u32| ReportedState {
            slots: f64::from(slots),
            full: false,
        };
        Self {
            settings: settings.clone(),
            servers: slots.map(state).collect(),
            pending: Vec::new(),
            due: None,
            budget_bytes: 0.0,
            refilled_at: None,
            dropped: 0,
        }
    }

    /// Records a load report; queues a note if the backend server turned full or free by it.
    pub fn record_report(&mut self, now: Instant, server: usize, in_flight: u32) {
        if self.settings.bytes_per_second <= 0.0 || !self.update_full(server, in_flight) {
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

    /// Records a peer's note: what it reported need not be sent again.
    pub fn record_peer_note(&mut self, note: LoadNote) {
        let server = usize::from(note.server);
        if server < self.servers.len() {
            self.update_full(server, u32::from(note.in_flight));
            self.pending.retain(|pending| pending.server != note.server);
        }
    }

    /// Returns when notes are to be sent.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the notes that are due for `peers` peers; returns none where the budget does not cover them.
    pub fn take_due(&mut self, now: Instant, peers: usize) -> Option<Vec<LoadNote>> {
        self.due.take_if(|due| *due <= now)?;
        let notes = std::mem::take(&mut self.pending);
        if notes.is_empty() || peers == 0 {
            return None;
        }
        self.refill_budget(now);
        let bytes = (peers * message_bytes(notes.len())) as f64;
        if self.budget_bytes < bytes {
            self.dropped += notes.len() as u64;
            return None;
        }
        self.budget_bytes -= bytes;
        Some(notes)
    }

    /// Returns how many notes were dropped for want of budget.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn update_full(&mut self, server: usize, in_flight: u32) -> bool {
        let state = &mut self.servers[server];
        let per_slot = f64::from(in_flight) / state.slots;
        let full = match state.full {
            true => per_slot >= self.settings.free_calls_per_slot,
            false => per_slot >= self.settings.full_calls_per_slot,
        };
        std::mem::replace(&mut state.full, full) != full
    }

    fn refill_budget(&mut self, now: Instant) {
        let most = self.settings.bytes_per_second * MAX_BURST.as_secs_f64();
        let elapsed = self.refilled_at.map(|at| now.saturating_duration_since(at));
        let earned = elapsed.map_or(most, |elapsed| {
            elapsed.as_secs_f64() * self.settings.bytes_per_second
        });
        self.budget_bytes = (self.budget_bytes + earned).min(most);
        self.refilled_at = Some(now);
    }
}

/// Returns the bytes of one message to one peer.
pub fn message_bytes(notes: usize) -> usize {
    MESSAGE_BYTES + notes * ENTRY_BYTES
}
