//! Which backend servers may be sent work, by what the platform's store says of them.
//!
//! Failures: a server leaves and must get no new work; an old report of a leaving server arrives
//! after its notice and would bring it back; entries lapse while the store is away though their
//! servers are well. The guards: a leaving server stays out for good, until the platform tells of a
//! later start under its name; entries that lapse around an outage of the store are kept in use for
//! a short grace after its return, and only then count as gone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::planted::{self, Planted};
use crate::utils::{HashMap, digest};
use crate::world::ids::{AvailabilityZone, BackendServerName, ServiceName};

/// When a server's process started, as far as the platform tells; greater is later.
pub type StartedAt = u64;

/// One backend server, as the platform's store tells of it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "Row", into = "Row")]
pub struct BackendServer {
    /// Its name, new with each start.
    pub name: BackendServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
    /// When it started, if that is told.
    pub started_at: Option<StartedAt>,
}

/// A server as the VMs tell it each other: a row without field names, for a VM that joins is told all of
/// them. Name, service, address, zone, slots, whether it is leaving, cold time in ms, start.
#[derive(Deserialize, Serialize)]
struct Row(
    BackendServerName,
    ServiceName,
    SocketAddr,
    AvailabilityZone,
    u32,
    bool,
    u64,
    Option<StartedAt>,
);

impl From<Row> for BackendServer {
    fn from(row: Row) -> Self {
        let Row(name, service, address, zone, slots, draining, cold_ms, started_at) = row;
        Self {
            name,
            service,
            address,
            zone,
            slots,
            draining,
            cold_for: Duration::from_millis(cold_ms),
            started_at,
        }
    }
}

impl From<BackendServer> for Row {
    fn from(server: BackendServer) -> Self {
        Self(
            server.name,
            server.service,
            server.address,
            server.zone,
            server.slots,
            server.draining,
            server.cold_for.as_millis() as u64,
            server.started_at,
        )
    }
}

/// How long entries that lapsed around an outage are still used after the store's return: the
/// platform brings the entries of live servers back within about 2 s.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1900);

/// How long after its return the store still counts as just returned.
const JUST_RETURNED: Duration = Duration::from_millis(2000);

/// How long a server that is gone is remembered, so that a late report of it does not bring it back:
/// far longer than any such report is late.
const REMEMBER_GONE: Duration = Duration::from_secs(300);

/// What a piece of news changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new, or another life under a known name.
    Joined(BackendServerName),
    /// Something of a usable server changed.
    Updated(BackendServerName),
    /// The server gets no new work from now on.
    Left(BackendServerName),
    /// The server's entry lapsed; it is used until the grace ends.
    Lapsed(BackendServerName),
}

impl Change {
    /// Returns the name used in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Joined(_) => "joined",
            Self::Updated(_) => "updated",
            Self::Left(_) => "left",
            Self::Lapsed(_) => "lapsed",
        }
    }

    /// Returns the server that it is about.
    pub fn server(&self) -> &BackendServerName {
        match self {
            Self::Joined(name) | Self::Updated(name) | Self::Left(name) | Self::Lapsed(name) => {
                name
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    server: BackendServer,
    standing: Standing,
    /// When its entry went, if it did.
    gone_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    InUse,
    LapsesAt(Instant),
    Draining,
    Gone,
    /// It went before the store came back from a copy, which may hold its entry until then.
    GoneBeforeCopy(Instant),
    /// It went before that, and the copy holds its entry.
    DoubtedUntil(Instant),
}

/// All backend servers heard of.
#[derive(Debug, Default)]
pub struct BackendServers {
    known: HashMap<BackendServerName, Known>,
    returned: Option<Instant>,
}

impl BackendServers {
    /// Takes note that the store answers again after it did not; returns whether that is news.
    ///
    /// Failure: each call that waited for the store sees its return, one after the other, and another VM
    /// tells of its own. Were the grace of lapsed entries counted from the last word, a server that left
    /// just after the return would get new work for longer than it may. So what follows within the grace
    /// is the same return.
    pub fn store_returned(&mut self, now: Instant) -> bool {
        let known = self.has_just_returned(now);
        if !known {
            self.returned = Some(now);
        }
        !known
    }

    /// Takes note that the store came back from a copy, where entries that nobody writes lapse after this time.
    ///
    /// Failures: a server that joined after the copy was made is missing, and is taken for gone; one that went after it is
    /// back, and gets work for as long as its entry takes to lapse again. So the first are used until they have had time to
    /// write, as after an outage, and the second only if their entries last.
    pub fn store_rewound(&mut self, now: Instant, lapse_after: Duration) {
        self.returned = Some(now);
        for known in self.known.values_mut() {
            if known.standing == Standing::Gone {
                known.standing = Standing::GoneBeforeCopy(now + lapse_after);
            }
        }
    }

    fn has_just_returned(&self, now: Instant) -> bool {
        let returned = self.returned;
        returned.is_some_and(|at| now.saturating_duration_since(at) < JUST_RETURNED)
    }

    /// Takes an entry in.
    pub fn update(&mut self, server: BackendServer) -> Option<Change> {
        let name = server.name.clone();
        let Some(known) = self.known.get_mut(&name) else {
            let standing = standing_of(&server);
            let known = Known {
                server,
                standing,
                gone_at: None,
            };
            self.known.insert(name.clone(), known);
            return (standing == Standing::InUse).then_some(Change::Joined(name));
        };
        known.gone_at = None;
        let is_later_start = server.started_at > known.server.started_at;
        if known.standing == Standing::Draining && !is_later_start {
            return None;
        }
        let before = known.standing;
        if let Standing::GoneBeforeCopy(until) | Standing::DoubtedUntil(until) = before
            && !is_later_start
        {
            known.standing = match standing_of(&server) {
                Standing::Draining => Standing::Draining,
                _ => Standing::DoubtedUntil(until),
            };
            known.server = server;
            return None;
        }
        let moved = known.server.address != server.address || is_later_start;
        let same = known.server == server;
        known.standing = standing_of(&server);
        known.server = server;
        match (before, known.standing) {
            (Standing::Gone | Standing::GoneBeforeCopy(_), Standing::InUse) => {
                Some(Change::Joined(name))
            }
            (Standing::DoubtedUntil(_), Standing::InUse) => Some(Change::Joined(name)),
            (_, Standing::InUse) if moved => Some(Change::Joined(name)),
            (Standing::InUse, Standing::InUse) if same => None,
            (_, Standing::InUse) => Some(Change::Updated(name)),
            (Standing::Gone | Standing::GoneBeforeCopy(_) | Standing::DoubtedUntil(_), _) => None,
            _ => Some(Change::Left(name)),
        }
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, now: Instant, name: &str) -> Option<Change> {
        let just_returned = self.has_just_returned(now);
        let known = self.known.get_mut(name)?;
        known.gone_at.get_or_insert(now);
        match known.standing {
            Standing::InUse if just_returned => {
                let until = self.returned.unwrap_or(now) + LAPSE_GRACE;
                known.standing = Standing::LapsesAt(until);
                Some(Change::Lapsed(known.server.name.clone()))
            }
            Standing::InUse => {
                known.standing = Standing::Gone;
                Some(Change::Left(known.server.name.clone()))
            }
            Standing::DoubtedUntil(until) => {
                known.standing = Standing::GoneBeforeCopy(until);
                None
            }
            Standing::LapsesAt(_)
            | Standing::Draining
            | Standing::Gone
            | Standing::GoneBeforeCopy(_) => None,
        }
    }

    /// Takes in which entries there are at all; the others are gone.
    pub fn remove_missing<'a>(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = &'a str>,
    ) -> Vec<Change> {
        let present: crate::utils::HashSet<&str> = names.collect();
        let known = self.known.keys().cloned();
        let missing: Vec<_> = known
            .filter(|name| !present.contains(name.as_ref()))
            .collect();
        missing
            .iter()
            .filter_map(|name| self.remove(now, name))
            .collect()
    }

    /// Ends the graces that are over.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for known in self.known.values_mut() {
            let name = &known.server.name;
            match known.standing {
                Standing::LapsesAt(at) if at <= now => {
                    known.standing = Standing::Gone;
                    changes.push(Change::Left(name.clone()));
                }
                Standing::GoneBeforeCopy(at) if at <= now => known.standing = Standing::Gone,
                Standing::DoubtedUntil(at) if at <= now => {
                    known.standing = Standing::InUse;
                    changes.push(Change::Joined(name.clone()));
                }
                _ => {}
            }
        }
        let forgotten = |at: Instant| now.saturating_duration_since(at) > REMEMBER_GONE;
        self.known.retain(|_, known| match known.standing {
            Standing::Draining | Standing::Gone | Standing::GoneBeforeCopy(_) => {
                !known.gone_at.is_some_and(forgotten)
            }
            Standing::InUse | Standing::LapsesAt(_) | Standing::DoubtedUntil(_) => true,
        });
        changes
    }

    /// Returns whether a server may be sent work now.
    pub fn takes_work(&self, name: &str) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|k| matches!(k.standing, Standing::InUse | Standing::LapsesAt(_)))
    }

    /// Returns whether this is what is known of a server already.
    pub fn is_known(&self, server: &BackendServer) -> bool {
        let known = self.known.get(&server.name);
        known.is_some_and(|known| known.gone_at.is_none() && known.server == *server)
    }

    /// Returns a server that is known.
    pub fn get(&self, name: &str) -> Option<&BackendServer> {
        self.known.get(name).map(|known| &known.server)
    }

    /// Returns the servers whose entries are there.
    pub fn present(&self) -> impl Iterator<Item = &BackendServer> {
        let present = self.known.values().filter(|known| known.gone_at.is_none());
        present.map(|known| &known.server)
    }

    /// Returns a hash of the servers whose entries are there, whatever their order.
    pub fn digest(&self) -> u64 {
        self.present().map(digest).fold(0, u64::wrapping_add)
    }

    /// Returns how many servers may be sent work.
    pub fn in_use_count(&self) -> usize {
        let standings = self.known.values().map(|known| known.standing);
        standings
            .filter(|s| matches!(s, Standing::InUse | Standing::LapsesAt(_)))
            .count()
    }
}

fn standing_of(server: &BackendServer) -> Standing {
    match server.draining && !planted::is_on(Planted::ChoosesLeavingServers) {
        true => Standing::Draining,
        false => Standing::InUse,
    }
}
