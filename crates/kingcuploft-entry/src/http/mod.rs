//! HTTP/1.1 messages: heads, bodies, and connections to servers.
//!
//! Requests that a caller sends one behind another are read and served as they come, and a request's
//! way to a server must be known to the byte (was any of it sent?); both need the bytes at hand.

pub mod body;
pub mod client;
pub mod head;
pub mod headers;
