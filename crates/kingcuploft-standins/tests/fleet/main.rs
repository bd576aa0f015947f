//! Checks several daemons under faults: manifest propagation, membership, drains, faulty peers and mutual TLS.

mod faulty_peers;
mod harness;
mod manifest;
mod members;
mod tls;
