//! HTTP/1.1 messages: heads, bodies, and client connections.
//!
//! The VM has its own implementation for two reasons: pipelined requests are read and served as they arrive, and it
//! must be known to the byte whether any of a request was sent to a server. Both need access to the raw bytes.

#![deny(clippy::arithmetic_side_effects)]

pub mod answer_account;
pub mod arriving;
pub mod body;
pub mod client;
pub mod head;
pub mod head_scan;
pub mod headers;
pub mod kept_connections;
pub mod target;
