//! Relaying: a VM that can't reach the servers of a service passes a request to another VM, which serves it as one of its
//! own and never passes it on again.
//!
//! A request goes over a connection of its own, in HTTP, with a header that tells what the first VM has decided. The
//! connection's end tells the other VM that the caller has left.

#![deny(clippy::arithmetic_side_effects)]

pub mod send;
pub mod wire;
