//! Failure tests of the edges: real daemons on loopback, raw sockets where bytes matter.

mod backend;
mod harness;
mod malformed;
mod overdue;
mod stop;
