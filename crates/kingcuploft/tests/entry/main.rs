//! The decisions of one entry VM, tested by their effects on callers and backend servers.

mod account_replicas;
mod attempts;
mod backend_servers;
mod caller_timeouts;
mod cold_servers;
mod configuration;
mod configuration_change;
mod connections;
mod dissemination;
mod evacuations;
mod hedging;
mod log_rate_limiter;
mod placement;
mod probe_fanout;
mod probing;
mod quarantine;
mod readers;
mod repeat_budget;
mod rewinds;
mod server_limit;
mod server_order;
mod server_pauses;
mod server_table;
mod service_reach;
mod turned_away;
mod zone_record;
