//! The fleet through faults: manifests, members and drains across several daemons.

mod harness;
mod manifest;
mod members;
mod rogue;
mod tls;
