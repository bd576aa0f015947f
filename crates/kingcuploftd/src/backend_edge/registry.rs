//! Tracks the calls in flight and the connections to backend servers, so that the dispatch thread can cancel a call.
//!
//! A worker's thread blocks in its socket. Cancelling shuts that socket down: the blocked read ends, and the backend
//! server sees its connection close and can cancel the work.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::AttemptId;

/// A connection to a backend server.
#[derive(Debug)]
pub struct BackendConnection {
    tcp: TcpStream,
    /// The attempt that it carries or carried last.
    attempt: AtomicU64,
    /// Whether further calls on it are forbidden.
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

    /// Excludes it from further calls.
    pub(super) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    pub(super) fn retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Shuts it down, whatever call it carries.
    pub fn shut_down(&self) {
        self.retire();
        // Shutting down fails on a connection that has already ended, which is fine.
        drop(self.tcp.shutdown(Shutdown::Both));
    }
}

/// The state of a call between its submission and its end.
#[derive(Debug)]
enum CallState {
    /// It waits for a worker or a connection.
    Waiting,
    /// It runs on this connection.
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

    /// Adds a call that was submitted to the workers.
    pub fn add(&self, attempt: AttemptId) {
        self.calls().insert(attempt, CallState::Waiting);
    }

    /// Assigns a connection to a call; returns whether the call may proceed.
    ///
    /// Failure: a call that has ended is cancelled a moment later, when its connection already carries another call.
    /// Shutting the connection down would end that other call and leave the outcome of a protected action unknown. So
    /// cancelling and assigning a connection both hold the lock, and cancelling shuts a connection down only while it
    /// still carries the cancelled call.
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

    /// Returns whether a call was cancelled.
    pub(super) fn is_cancelled(&self, attempt: AttemptId) -> bool {
        matches!(self.calls().get(&attempt), Some(CallState::Cancelled))
    }

    /// Removes a call that ended; returns the connection it ran on.
    pub fn remove(&self, attempt: AttemptId) -> Option<Arc<BackendConnection>> {
        match self.calls().remove(&attempt)? {
            CallState::Running(connection) => Some(connection),
            CallState::Waiting | CallState::Cancelled => None,
        }
    }

    /// Cancels a call; has no effect on a call that has ended.
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

    /// Returns the number of open connections to a backend server, in use or idle.
    pub fn connections(&self, address: SocketAddr) -> usize {
        self.connection_count(address).load(Ordering::Relaxed)
    }

    /// Returns the number of open connections to all backend servers.
    pub fn all_connections(&self) -> usize {
        let connections = self.connections.lock();
        let connections = connections.unwrap_or_else(PoisonError::into_inner);
        let counts = connections.values();
        counts.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Reserves a connection that is about to open; `None` if the limit is reached.
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
