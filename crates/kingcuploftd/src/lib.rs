//! The daemon of one entry VM: it accepts callers' requests and load-balances them over backend servers.
//!
//! Each task has its own thread: accepting callers, dispatching, calling backend servers, claiming idempotency keys,
//! probing, gossip with other VMs, reading the store and the admin port. Bounded channels connect the threads, so that
//! overload shows as a full channel and not as unbounded memory.

pub mod admin;
pub mod admin_fleet;
pub mod admin_token;
pub mod answer_stream;
pub mod backend_edge;
pub mod caller_edge;
pub mod claims;
pub mod daemon;
pub mod decision_log;
pub mod dispatch;
pub mod explain;
pub mod fleet_state;
pub mod hop_by_hop;
pub mod logs;
pub mod manifest_state;
pub mod manifest_watch;
pub mod membership_sync;
pub mod message;
pub mod metrics;
pub mod metrics_fleet;
pub mod metrics_service;
pub mod peer_link;
pub mod prober;
pub mod settings;
pub mod shared;
pub mod status;
