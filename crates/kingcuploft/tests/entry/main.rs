//! The decisions of one entry VM, judged by what callers and backend servers would see.

mod asked;
mod backend_servers;
mod cold_servers;
mod configuration;
mod configuration_change;
mod connections;
mod evacuations;
mod feeding;
mod log_budget;
mod patience;
mod placement;
mod probing;
mod quarantine;
mod readers;
mod repeat_copies;
mod repeats;
mod rewinds;
mod second_look;
mod server_limit;
mod server_table;
mod verdict;
mod zone_record;
