//! The decisions of a load balancer for small edge sites, without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread, reads a clock or seeds its own random generator: time, seeds
//! and events are passed in, and actions are returned as enums. The daemon and the scenario tests run the same code.

pub mod decisions;
pub mod dispatcher;
pub mod entry;
pub mod manifest;
pub mod planted;
pub mod settings;
pub mod utils;
pub mod world;
