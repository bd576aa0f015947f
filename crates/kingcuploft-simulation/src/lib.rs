//! Simulates a fleet of entry VMs in virtual time: the entry VM's own code runs against a simulated network and
//! simulated callers, backend servers, store and operator.
//!
//! One simulated run is a day: a deployment, a seed and the disruptions that occur. A day runs on one thread and is
//! deterministic: the same seed gives the same day. The simulation makes no decision for a VM.

pub mod balancer;
pub mod caller;
pub mod day;
pub mod deployment;
pub mod disruptions;
pub mod generator;
pub mod header_names;
pub mod history;
pub mod link;
pub mod list_fault;
pub mod log;
pub mod lost_answers;
pub mod network;
pub mod operator;
pub mod planted_fault;
pub mod plot;
mod readiness;
pub mod rules;
pub mod search;
pub mod server;
pub mod server_cuts;
mod server_disruptions;
pub mod shrink;
pub mod simulation;
pub mod store;
pub mod store_client;
mod store_disruptions;
pub mod store_lists;
pub mod store_snapshot;
pub mod vm;
