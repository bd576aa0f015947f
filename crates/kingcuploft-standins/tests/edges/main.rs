//! Failure tests of the caller edge and the backend edge: real daemons on loopback, and raw sockets where the exact
//! bytes matter.

mod backend;
mod harness;
mod malformed;
mod overdue;
mod stop;
