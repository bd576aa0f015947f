//! The event-driven entry VM: one thread, with sockets and timers around the decisions of `kingcuploft`.
//!
//! [`edge`] serves the callers, [`upstream`] deals with the backend servers, and [`store_watcher`] applies what the
//! platform's store holds. The platform's adapter supplies the names of headers and paths as [`settings::WireNames`]
//! and the store's entries through [`store::Store`].

#![deny(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::unreachable,
    clippy::unwrap_used
)]

pub mod ascii_json;
mod budgets;
pub mod clock;
pub mod cold_servers;
pub mod command_line;
mod completeness;
mod connection_metrics;
pub mod context;

pub mod active_configuration;
mod duty;
pub mod edge;
pub mod evacuation;
pub mod fields;
mod gauges;
mod given_up_answers;
pub mod http;
mod label_names;
pub mod limits;
pub mod logs;
pub mod metrics;
pub mod network;
pub mod notice_writes;
pub mod notices;
pub mod pauses;
pub mod peers;
pub mod ports;
pub mod process;
pub mod quotas;
pub mod reach;
pub mod relay;
mod relist;
pub mod rewinds;
pub mod run;
mod server_batch;
pub mod server_updates;
pub mod settings;
pub mod shutdown;
pub mod store;
pub mod store_access;
mod store_fallback;
mod store_list;
pub mod store_liveness;
pub mod store_sync;
pub mod store_watcher;
mod unlisted;
pub mod unreadable;
pub mod upstream;
mod usable_servers;
pub mod watch_check;
mod zone_list;
