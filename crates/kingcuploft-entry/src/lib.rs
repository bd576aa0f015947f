//! The event-driven entry VM: one thread, sockets and timers around the decisions of `kingcuploft`.
//!
//! Callers come in at [`edge`], backend servers are dealt with in [`upstream`], and [`keeper`] holds
//! what the platform's store says. Names of headers, paths and store entries come from outside, by
//! [`settings::Vocabulary`] and [`store::Store`].

mod budgets;
pub mod clock;
pub mod cold;
pub mod context;

pub mod edge;
pub mod evacuation;
pub mod fields;
mod gauges;
pub mod http;
mod impatience;
pub mod in_force;
pub mod keeper;
pub mod limits;
pub mod logs;
pub mod metrics;
pub mod network;
pub mod notice_writes;
pub mod notices;
pub mod peers;
pub mod pulse;
pub mod rewinds;
pub mod run;
pub mod server_news;
pub mod settings;
pub mod sign_of_life;
pub mod store;
pub mod store_sync;
pub mod upstream;
mod zone_list;
