//! Stand-ins (test doubles) for the callers, backend servers and platform around the load balancer, and the experiments
//! and tools that measure it against them.

pub mod backend_server;
pub mod callers;
pub mod deployment;
pub mod experiments;
pub mod fleet;
pub mod http;
pub mod link;
pub mod load;
pub mod platform;
pub mod plot;
pub mod precise_sleep;
pub mod process;
pub mod raw_caller;
pub mod tally;
pub mod traffic;
pub mod virtual_fleet;
