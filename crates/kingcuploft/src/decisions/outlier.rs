//! Which failing backend servers get no work for a while.
//!
//! Load pattern: a backend server answers every request with an error within a fraction of a
//! millisecond, or its port is closed. It is never busy, so every choice by load prefers it: one bad
//! server of eleven then fails far more than an eleventh of the requests. Counting failures as calls
//! keeps most work away; ejection keeps away the rest.
//!
//! Ejection must not become the outage. Where a fault hits most servers at once, or lies with the
//! caller's own link, the last servers stay in use: at least `keep_share` of those that take work.
//! A server returns by itself when its time is over, cold, and selection ramps it; a failure then
//! ejects it again at once, for twice as long.

use std::time::{Duration, Instant};

use crate::settings::outlier::OutlierSettings;
use crate::world::backend_server::CallEnd;

/// The most doublings of an ejection.
const MOST_DOUBLINGS: u32 = 16;

/// The ejections of one service on one VM.
#[derive(Debug)]
pub struct OutlierDetection {
    settings: OutlierSettings,
    keep_share: f64,
    servers: Vec<Health>,
    ejected: usize,
}

#[derive(Clone, Debug, Default)]
struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl OutlierDetection {
    /// Builds the state in which no server is ejected.
    pub fn new(settings: &OutlierSettings, keep_share: f64, servers: usize) -> Self {
        Self {
            settings: settings.clone(),
            keep_share,
            servers: vec![Health::default(); servers],
            ejected: 0,
        }
    }

    /// Takes over what an earlier manifest's view knows; `old_of` gives the earlier index of each
    /// backend server, `None` for one that is new.
    pub fn take_over(&mut self, old: &Self, old_of: &[Option<usize>]) {
        for (server, old_index) in self.servers.iter_mut().zip(old_of) {
            if let Some(index) = old_index {
                server.clone_from(&old.servers[*index]);
            }
        }
        self.ejected = self.servers.iter().filter(|s| s.until.is_some()).count();
    }

    /// Takes the end of a call in; `working` servers take work by every other decision. Tells
    /// whether the server is ejected by it.
    pub fn record_end(
        &mut self,
        now: Instant,
        server: usize,
        end: CallEnd,
        working: usize,
    ) -> bool {
        match verdict(end) {
            Sign::Good => {
                self.lift(server);
                self.servers[server] = Health::default();
                false
            }
            Sign::None => false,
            Sign::Bad => self.failed(now, server, working),
        }
    }

    /// Tells whether a server may get work; one whose ejection is over may.
    pub fn takes_work(&self, now: Instant, server: usize) -> bool {
        self.servers[server].until.is_none_or(|until| until <= now)
    }

    /// Returns how many servers are ejected or have not answered since.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    fn failed(&mut self, now: Instant, server: usize, working: usize) -> bool {
        let (after, again) = (self.settings.eject_after, self.servers[server].until);
        self.servers[server].failures += 1;
        let due = after > 0 && (self.servers[server].failures >= after || again.is_some());
        // A call sent before the ejection tells nothing new.
        let ejected_now = again.is_some_and(|until| until > now);
        if !due || ejected_now {
            return false;
        }
        self.lift(server);
        let keep = (working as f64 * self.keep_share).ceil() as usize;
        if working.saturating_sub(self.ejected + 1) < keep {
            return false;
        }
        self.eject(now, server);
        true
    }

    fn eject(&mut self, now: Instant, server: usize) {
        let health = &mut self.servers[server];
        let doublings = health.ejections.min(MOST_DOUBLINGS);
        let length_ms = self.settings.eject_ms.saturating_mul(1 << doublings);
        let length_ms = length_ms.min(self.settings.longest_ms);
        health.until = Some(now + Duration::from_millis(length_ms));
        health.ejections += 1;
        self.ejected += 1;
    }

    fn lift(&mut self, server: usize) {
        if self.servers[server].until.take().is_some() {
            self.ejected -= 1;
        }
    }
}

/// What the end of a call says of its server's health.
enum Sign {
    Good,
    Bad,
    None,
}

fn verdict(end: CallEnd) -> Sign {
    match end {
        CallEnd::Answered { status } if status < 500 => Sign::Good,
        CallEnd::Answered { .. } | CallEnd::NeverSent | CallEnd::Broken => Sign::Bad,
        // A server that sheds load is alive, and a late one may have had a long job.
        CallEnd::Refused | CallEnd::TimedOut | CallEnd::TooLarge | CallEnd::Cancelled => Sign::None,
    }
}
