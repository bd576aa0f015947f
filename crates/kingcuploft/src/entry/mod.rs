//! The decisions of one entry VM about each request, without sockets, threads or a clock of their own.
//!
//! The event-driven entry (`kingcuploft-entry`) calls these modules and carries out what they decide; the tests call
//! the same modules.

#![deny(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::unreachable,
    clippy::unwrap_used
)]

pub mod account_replicas;
pub mod answer_identity;
pub mod answer_memory;
pub mod attempts;
mod backend_server;
pub mod backend_servers;
pub mod caller_timeouts;
pub mod change_assembly;
pub mod change_log;
pub mod cold_time;
pub mod configuration;
pub mod configuration_change;
pub mod configuration_check;
pub mod connections;
pub mod crash_report;
pub mod descriptors;
pub mod dissemination;
pub mod era;
pub mod evacuations;
pub mod failure_rate;
pub mod fingerprint;
pub mod good_share;
pub mod hedging;
pub mod informants;
pub mod key_digest;
mod known_limit;
pub mod last_slot_slowdown;
pub mod limit_notice;
pub mod log_rate_limiter;
pub mod notice;
pub mod notice_id;
pub mod placement;
pub mod probe_budget;
pub mod probe_fanout;
pub mod probe_latency;
pub mod quarantine;
pub mod quota;
pub mod readers;
pub mod repeat_account;
pub mod repeat_budget;
pub mod server_limit;
pub mod server_limits;
pub mod server_order;
pub mod server_pauses;
pub mod server_table;
pub mod service_reach;
pub mod service_time;
pub mod shutdown;
pub mod start;
pub mod startup_delay;
pub mod store_contact;
pub mod turned_away;
pub mod vm_count;
pub mod vm_entry;
pub mod watch_lag;
pub mod workspaces;
pub mod zone_record;
