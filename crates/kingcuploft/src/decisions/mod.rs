//! The decisions of the load balancer: admission, queueing, refusal, server selection, retries, hedging, and how fast
//! each adapts.
//!
//! Each module makes one decision. Its settings stand in the module of the same name in [`crate::settings`], where it
//! has settings of its own.

pub mod admission;
pub mod adoption;
pub mod claim;
pub mod concurrency;
pub mod drain;
pub mod fair_queue;
pub mod hedge;
pub mod load_estimate;
pub mod measuring;
pub mod membership;
pub mod notes;
pub mod outlier;
pub mod priority_scheduler;
pub mod retry;
pub mod selection;
mod server_view;
pub mod service_time;
