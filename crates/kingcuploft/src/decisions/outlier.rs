//! Outlier detection: which failing backend servers get no work for a while.
//!
//! Load pattern: a backend server answers every request with an error within a fraction of a millisecond, or its port
//! is closed. It is never busy, so every selection by load prefers it: one bad server of eleven then fails far more
//! than an eleventh of the requests. The failure penalty of `server_view` keeps most work away from it; ejection keeps
//! away the rest.
//!
//! Ejection must not become the outage. Where a fault hits most servers at once, or lies with the VM's own link, the
//! last servers stay in use: at least `keep_share` of those that take work. A server returns when its ejection time is
//! over; it is cold then, and selection ramps it up. A failure then ejects it again at once, for twice as long.

use std::time::{Duration, Instant};

use crate::settings::outlier::OutlierSettings;
use crate::world::backend_server::CallEnd;

/// The most times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

/// The ejected backend servers of one service, as one VM sees them.
#[derive(Debug)]
pub struct OutlierDetection {
    settings: OutlierSettings,
    keep_share: f64,
    servers: Vec<ServerHealth>,
    ejected: usize,
}

#[derive(Clone, Debug, Default)]
struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetection {
    /// Creates the state in which no server is ejected.
    pub fn new(settings: &OutlierSettings, keep_share: f64, servers: usize) -> Self {
        Self {
            settings: settings.clone(),
            keep_share,
            servers: vec![ServerHealth::default(); servers],
            ejected: 0,
        }
    }

    /// Carries over the state known under an earlier manifest; `old_indexes` gives the earlier index of each backend
    /// server, `None` for one that is new.
    pub fn carry_over(&mut self, old: &Self, old_indexes: &[Option<usize>]) {
        for (server, old_index) in self.servers.iter_mut().zip(old_indexes) {
            if let Some(index) = old_index {
                server.clone_from(&old.servers[*index]);
            }
        }
        self.ejected = self
            .servers
            .iter()
            .filter(|s| s.ejected_until.is_some())
            .count();
    }

    /// Records the end of a call; `available` servers take work by every other decision. Returns whether the server is
    /// ejected by it.
    pub fn record_end(
        &mut self,
        now: Instant,
        server: usize,
        end: CallEnd,
        available: usize,
    ) -> bool {
        match health_signal(end) {
            HealthSignal::Good => {
                self.end_ejection(server);
                self.servers[server] = ServerHealth::default();
                false
            }
            HealthSignal::None => false,
            HealthSignal::Bad => self.record_failure(now, server, available),
        }
    }

    /// Returns whether a server may get work; one whose ejection time is over may.
    pub fn takes_work(&self, now: Instant, server: usize) -> bool {
        self.servers[server]
            .ejected_until
            .is_none_or(|ejected_until| ejected_until <= now)
    }

    /// Returns how many servers are ejected, or were and have not answered since.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    fn record_failure(&mut self, now: Instant, server: usize, available: usize) -> bool {
        let (after, previous) = (
            self.settings.eject_after,
            self.servers[server].ejected_until,
        );
        self.servers[server].failures += 1;
        let due = after > 0 && (self.servers[server].failures >= after || previous.is_some());
        // A failure during the ejection belongs to a call that was sent before it, and tells nothing new.
        let ejected_now = previous.is_some_and(|ejected_until| ejected_until > now);
        if !due || ejected_now {
            return false;
        }
        self.end_ejection(server);
        let keep = (available as f64 * self.keep_share).ceil() as usize;
        if available.saturating_sub(self.ejected + 1) < keep {
            return false;
        }
        self.eject(now, server);
        true
    }

    fn eject(&mut self, now: Instant, server: usize) {
        let health = &mut self.servers[server];
        let doublings = health.ejections.min(MAX_EJECTION_DOUBLINGS);
        let length_ms = self.settings.eject_ms.saturating_mul(1 << doublings);
        let length_ms = length_ms.min(self.settings.longest_ms);
        health.ejected_until = Some(now + Duration::from_millis(length_ms));
        health.ejections += 1;
        self.ejected += 1;
    }

    fn end_ejection(&mut self, server: usize) {
        if self.servers[server].ejected_until.take().is_some() {
            self.ejected -= 1;
        }
    }
}

/// What the end of a call says of its server's health.
enum HealthSignal {
    Good,
    Bad,
    None,
}

fn health_signal(end: CallEnd) -> HealthSignal {
    match end {
        CallEnd::Answered { status } if status < 500 => HealthSignal::Good,
        CallEnd::Answered { .. } | CallEnd::NeverSent | CallEnd::Broken => HealthSignal::Bad,
        // A server that sheds load is alive, and a late one may have had a long job.
        CallEnd::Refused | CallEnd::TimedOut | CallEnd::TooLarge | CallEnd::Cancelled => {
            HealthSignal::None
        }
    }
}
