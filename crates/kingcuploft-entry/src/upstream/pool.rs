//! The idle connections to a server, which are used again.

use std::time::Duration;

use super::Upstream;
use crate::clock;
use crate::http::client::Connection;

/// The most idle connections that are pooled for one server: VMs share a server's connections, and one VM rarely has
/// more than two requests in flight at one server.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// How long a connection may be idle and still be reused, whatever the server announces: servers close idle connections
/// after 10 s at all sites, and some drop them sooner.
const MAX_IDLE_AGE: Duration = Duration::from_secs(9);

impl Upstream {
    /// Takes a reusable connection from the pool.
    pub fn take_idle(&self) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.known_usage()?.idle_connections.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_reusable(now, MAX_IDLE_AGE) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, if it can be reused and the pool is not full.
    pub fn release(&self, mut connection: Connection) {
        let mut idle = self.usage().idle_connections.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable(clock::now(), MAX_IDLE_AGE) {
            idle.push(connection);
        }
    }

    /// Returns how many connections the pool has.
    pub fn idle_connection_count(&self) -> usize {
        self.known_usage()
            .map_or(0, |usage| usage.idle_connections.borrow().len())
    }

    /// Closes the connection of the pool that was used longest ago; returns whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        let Some(usage) = self.known_usage() else {
            return false;
        };
        let mut idle = usage.idle_connections.borrow_mut();
        let has_one = !idle.is_empty();
        if has_one {
            idle.remove(0);
        }
        has_one
    }

    /// Returns whether the pool has a connection.
    pub fn has_idle_connection(&self) -> bool {
        self.known_usage()
            .is_some_and(|usage| !usage.idle_connections.borrow().is_empty())
    }
}
