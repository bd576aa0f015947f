//! Whether this VM reaches the backend servers of a service, and which other VMs do.
//!
//! Load pattern: some VMs, at times all of a zone, are cut off from the servers of one or all services for seconds, while
//! callers, the store and the other VMs still reach them. A VM that only tried again would refuse all its callers; it
//! passes their requests to a VM that reaches the servers.
//!
//! Only new connections tell: open ones may live on through a cut, and a server that is merely slow still accepts. That
//! several servers refuse this VM alone looks the same as all servers being down, so the other VMs are asked, and without
//! one that reaches the servers nothing is passed on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::world::ids::BackendServerName;

/// How many servers must have failed to accept a connection, without one that did, to take a service for out of reach,
/// where it has more that may be tried: one or two that are down are no cut.
const MIN_FAILED_SERVERS: usize = 3;

/// How many servers in a row must accept a connection before the service is in reach again, where it has more that may
/// be tried: a single one that the cut spares can't carry all requests.
const MIN_OPENED_SERVERS: usize = 2;

/// How recent the last answer of a server must be for a VM to offer that it passes on requests: a cut may have begun
/// since.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(400);

/// For how long another VM's reply holds.
const RELAY_LIFETIME: Duration = Duration::from_millis(600);

/// How often the other VMs are asked while requests wait for a relay.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// A VM that has replied that it reaches the servers.
#[derive(Clone, Copy, Debug)]
struct Relay {
    address: SocketAddr,
    replied_at: Instant,
    in_flight: u32,
}

/// What this VM knows of its paths to the servers of one service.
#[derive(Debug, Default)]
pub struct ServiceReach {
    /// The servers that accepted no connection since the last one that did.
    failed: Vec<BackendServerName>,
    /// The servers that accepted a connection, out of reach, since the last one that did not.
    opened: Vec<BackendServerName>,
    is_out_of_reach: bool,
    is_being_checked: bool,
    last_contact: Option<Instant>,
    asked_at: Option<Instant>,
    relays: Vec<Relay>,
}

/// Whether a service is in reach, and whether that has just changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// Nothing has changed.
    None,
    /// The service has gone out of reach.
    Lost,
    /// The service is in reach again.
    Regained,
}

impl ServiceReach {
    /// Records that a server has accepted a new connection; connections are opened to the servers in `usable` only.
    pub fn record_opened<'a>(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        usable: impl Iterator<Item = &'a BackendServerName>,
    ) -> ReachChange {
        self.failed.clear();
        self.last_contact = Some(now);
        if !self.is_out_of_reach {
            return ReachChange::None;
        }
        if !self.opened.contains(server) {
            self.opened.push(server.clone());
        }
        if !are_enough(&self.opened, MIN_OPENED_SERVERS, usable) {
            return ReachChange::None;
        }
        self.opened.clear();
        self.relays.clear();
        self.is_out_of_reach = false;
        ReachChange::Regained
    }

    /// Records that a server has not accepted a new connection; connections are opened to the servers in `usable` only.
    pub fn record_not_opened<'a>(
        &mut self,
        server: &BackendServerName,
        usable: impl Iterator<Item = &'a BackendServerName>,
    ) -> ReachChange {
        self.opened.clear();
        if self.is_out_of_reach {
            return ReachChange::None;
        }
        if !self.failed.contains(server) {
            self.failed.push(server.clone());
        }
        if !are_enough(&self.failed, MIN_FAILED_SERVERS, usable) {
            return ReachChange::None;
        }
        self.is_out_of_reach = true;
        ReachChange::Lost
    }

    /// Forgets whether a server has accepted a connection, as it has left or started anew: that it had ended tells
    /// nothing of the paths to the others.
    pub fn forget_server(&mut self, server: &BackendServerName) {
        self.opened.retain(|opened| opened != server);
        self.failed.retain(|failed| failed != server);
    }

    /// Returns whether a server has accepted a connection, out of reach, since the last one that did not.
    pub fn has_opened(&self, server: &BackendServerName) -> bool {
        self.opened.contains(server)
    }

    /// Records that a server has answered, on whatever connection.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
    }

    /// Returns whether new connections to the servers fail.
    pub fn is_out_of_reach(&self) -> bool {
        self.is_out_of_reach
    }

    /// Returns whether checks that the service is in reach again should begin, and notes that they do.
    pub fn begin_checking(&mut self) -> bool {
        !std::mem::replace(&mut self.is_being_checked, true)
    }

    /// Records that the checks have ended.
    pub fn end_checking(&mut self) {
        self.is_being_checked = false;
    }

    /// Returns whether this VM may offer to pass on requests of others.
    pub fn may_relay(&self, now: Instant) -> bool {
        let contact = self.last_contact;
        let is_recent =
            contact.is_some_and(|at| now.saturating_duration_since(at) < MAX_CONTACT_AGE);
        is_recent && !self.is_out_of_reach
    }

    /// Returns whether the other VMs should be asked now, and notes that they are.
    pub fn begin_asking(&mut self, now: Instant) -> bool {
        let asked = self.asked_at;
        let is_due = asked.is_none_or(|at| now.saturating_duration_since(at) >= ASK_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Returns how long ago the other VMs were asked.
    pub fn asked_for(&self, now: Instant) -> Option<Duration> {
        self.asked_at.map(|at| now.saturating_duration_since(at))
    }

    /// Records another VM's reply: whether it reaches the servers.
    pub fn record_reply(&mut self, now: Instant, address: SocketAddr, reaches: bool) {
        let known = self.relays.iter_mut().find(|r| r.address == address);
        match (known, reaches) {
            (Some(relay), true) => relay.replied_at = now,
            (None, true) => self.relays.push(Relay {
                address,
                replied_at: now,
                in_flight: 0,
            }),
            (Some(_), false) => self.relays.retain(|r| r.address != address),
            (None, false) => {}
        }
    }

    /// Returns the VM to pass a request to: the one with the fewest requests of this VM in flight, which spreads the
    /// load of many callers. `chance` breaks ties.
    pub fn pick_relay(
        &self,
        now: Instant,
        tried: &[SocketAddr],
        mut chance: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let is_usable = |relay: &&Relay| {
            let age = now.saturating_duration_since(relay.replied_at);
            age < RELAY_LIFETIME && !tried.contains(&relay.address)
        };
        let usable = self.relays.iter().filter(is_usable);
        let ranked = usable.map(|relay| (f64::from(relay.in_flight) + chance(), relay.address));
        let least = ranked.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, address)| address)
    }

    /// Counts a request that is passed to a VM.
    pub fn record_relay_started(&mut self, address: SocketAddr) {
        if let Some(relay) = self.relays.iter_mut().find(|r| r.address == address) {
            relay.in_flight += 1;
        }
    }

    /// Counts the end of a request that was passed to a VM.
    pub fn record_relay_ended(&mut self, address: SocketAddr) {
        if let Some(relay) = self.relays.iter_mut().find(|r| r.address == address) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
        }
    }
}

/// Returns whether these are `enough` servers, or all that may be tried: a bound that counts servers which nothing is sent
/// to could not be reached.
fn are_enough<'a>(
    servers: &[BackendServerName],
    enough: usize,
    usable: impl Iterator<Item = &'a BackendServerName>,
) -> bool {
    if servers.len() >= enough {
        return true;
    }
    let mut usable = usable.peekable();
    usable.peek().is_some() && usable.all(|server| servers.contains(server))
}
