//! The decisions of a load balancer for small edge sites, without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread, reads a clock or draws from a random
//! source of its own: time, seeds and events are passed in, and an enum of what to do next comes
//! out. The daemon and the scenario tests run the very same code.

pub mod decisions;
pub mod dispatcher;
pub mod entry;
pub mod manifest;
pub mod planted;
pub mod settings;
pub mod utils;
pub mod world;
