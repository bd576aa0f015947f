//! A backend server for tests and experiments, with slots, work times, faults and a count of runs per idempotency key.
//!
//! It speaks HTTP/1.1 on raw connections, so that a fault can end an answer at any byte.

mod answer;
mod connection;
pub mod faults;
mod listener;
mod load;
mod state;
mod work;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::AbortHandle;

pub use faults::{AnswerFault, Faults, LoadReporting, SlowSpells};
pub use state::Counts;
pub use work::Work;

use state::State;

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct BackendServer {
    state: Arc<State>,
    address: SocketAddr,
    accept: AbortHandle,
}

impl BackendServer {
    /// Starts a backend server on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be opened.
    pub fn start(runtime: &Runtime, work: Work) -> std::io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(work));
        let accept = runtime.spawn(listener::accept(Arc::clone(&state), listener));
        Ok(Self {
            state,
            address,
            accept: accept.abort_handle(),
        })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often work for this idempotency key began.
    pub fn runs(&self, key: &str) -> u64 {
        self.state.runs(key)
    }

    /// Returns how often work for the call with this `x-call-id` began.
    pub fn call_runs(&self, call: &str) -> u64 {
        self.state.call_runs(call)
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Changes the faults while the server runs.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.state.faults.send_modify(change);
    }

    /// Returns the number of requests that occupy or wait for a slot, probes included.
    pub fn in_flight(&self) -> u32 {
        self.state.load.now()
    }

    /// Restarts the cold start, as if the server had been replaced.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Closes every open connection at once.
    pub fn close_connections(&self) {
        self.state.closing.send_modify(|times| *times += 1);
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.accept.abort();
        self.close_connections();
    }
}
