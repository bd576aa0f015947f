//! The calls in flight, so that another thread can cancel one.
//!
//! A worker's thread blocks in its socket. Cancelling shuts that socket down: the blocked read
//! ends, and the backend server sees its connection close, which cancels the work there.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::AttemptId;

/// A connection to a backend server.
#[derive(Debug)]
pub struct BackendConnection {
    tcp: TcpStream,
    /// The call it carries or carried last.
    attempt: AtomicU64,
    /// Whether it may carry no further call.
    retired: AtomicBool,
}

impl BackendConnection {
    pub(super) fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            attempt: AtomicU64::new(0),
            retired: AtomicBool::new(false),
        }
    }

    pub(super) fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Lets no further call onto it.
    pub(super) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    pub(super) fn retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Ends it, whatever it carries.
    pub fn shut_down(&self) {
        self.retire();
        // A connection that ended by itself can not be shut down, and need not be.
        drop(self.tcp.shutdown(Shutdown::Both));
    }
}

/// What is known about a call between its order and its end.
#[derive(Debug)]
enum CallState {
    /// It waits for a worker or a connection.
    Waiting,
    /// It is on this connection.
    Running(Arc<BackendConnection>),
    /// It was cancelled.
    Cancelled,
}

/// The calls in flight and the connections to backend servers.
#[derive(Debug, Default)]
pub struct CallRegistry {
    calls: Mutex<HashMap<AttemptId, CallState>>,
    connections: Mutex<HashMap<SocketAddr, Arc<AtomicUsize>>>,
}

/// One open connection, counted until dropped.
#[derive(Debug)]
pub(super) struct CountedConnection(Arc<AtomicUsize>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallRegistry {
    fn calls(&self) -> MutexGuard<'_, HashMap<AttemptId, CallState>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call was ordered.
    pub fn add(&self, attempt: AttemptId) {
        self.calls().insert(attempt, CallState::Waiting);
    }

    /// Notes the connection a call is on; tells whether the call may go on.
    ///
    /// A call that ended may be cancelled a moment later, when its connection already carries
    /// another one. That one would be cut, and a protected action's outcome unknown. So cancelling
    /// and taking a connection over both happen under the lock, and cancelling ends a connection
    /// only while it still carries the cancelled call.
    pub(super) fn assign_connection(
        &self,
        attempt: AttemptId,
        connection: &Arc<BackendConnection>,
    ) -> bool {
        let mut calls = self.calls();
        let state = calls.entry(attempt).or_insert(CallState::Waiting);
        if matches!(state, CallState::Cancelled) || connection.retired() {
            return false;
        }
        connection.attempt.store(attempt, Ordering::Release);
        *state = CallState::Running(Arc::clone(connection));
        true
    }

    /// Tells whether a call was cancelled.
    pub(super) fn is_cancelled(&self, attempt: AttemptId) -> bool {
        matches!(self.calls().get(&attempt), Some(CallState::Cancelled))
    }

    /// Forgets a call that ended; returns the connection it was on.
    pub fn remove(&self, attempt: AttemptId) -> Option<Arc<BackendConnection>> {
        match self.calls().remove(&attempt)? {
            CallState::Running(connection) => Some(connection),
            CallState::Waiting | CallState::Cancelled => None,
        }
    }

    /// Cancels a call; one that has ended is left alone.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(state) = self.calls().get_mut(&attempt) {
            cancel(attempt, state);
        }
    }

    /// Cancels every call.
    pub fn cancel_all(&self) {
        let mut calls = self.calls();
        calls
            .iter_mut()
            .for_each(|(attempt, state)| cancel(*attempt, state));
    }

    /// Returns how many connections to a backend server are open, in use or idle.
    pub fn connections(&self, address: SocketAddr) -> usize {
        self.connection_count(address).load(Ordering::Relaxed)
    }

    /// Returns how many connections to backend servers are open.
    pub fn all_connections(&self) -> usize {
        let connections = self.connections.lock();
        let connections = connections.unwrap_or_else(PoisonError::into_inner);
        let counts = connections.values();
        counts.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Counts a connection that is about to open, unless the limit is reached.
    pub(super) fn open(&self, address: SocketAddr, limit: usize) -> Option<CountedConnection> {
        let count = self.connection_count(address);
        let counted = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |open| {
            (open < limit).then_some(open + 1)
        });
        counted.is_ok().then(|| CountedConnection(count))
    }

    fn connection_count(&self, address: SocketAddr) -> Arc<AtomicUsize> {
        let connections = self.connections.lock();
        let mut connections = connections.unwrap_or_else(PoisonError::into_inner);
        Arc::clone(connections.entry(address).or_default())
    }
}

fn cancel(attempt: AttemptId, state: &mut CallState) {
    if let CallState::Running(connection) = state
        && connection.attempt.load(Ordering::Acquire) == attempt
    {
        connection.shut_down();
    }
    *state = CallState::Cancelled;
}
