//! What one entry VM decides for each request, without socket, thread or clock of its own.
//!
//! The event-driven entry (`kingcuploft-entry`) asks these modules what to do next and does it; the
//! tests ask the same modules.

pub mod arriving;
pub mod asked;
pub mod backend_servers;
pub mod change_log;
pub mod configuration;
pub mod configuration_change;
pub mod connections;
pub mod crash_report;
pub mod era;
pub mod evacuations;
pub mod failures;
pub mod feeding;
pub mod fingerprint;
pub mod joining;
pub mod last_slot;
pub mod limit_notice;
pub mod log_budget;
pub mod notice;
pub mod notice_id;
pub mod patience;
pub mod placement;
pub mod probe_budget;
pub mod quarantine;
pub mod readers;
pub mod repeat_account;
pub mod repeat_copies;
pub mod repeats;
pub mod second_look;
pub mod server_limit;
pub mod server_limits;
pub mod server_table;
pub mod service_time;
pub mod verdict;
pub mod vm_entry;
pub mod zone_record;
