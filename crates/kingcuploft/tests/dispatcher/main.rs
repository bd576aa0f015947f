//! The dispatcher under faults: what every caller receives, and what is never sent twice.

mod adoption;
mod deadlines;
mod event_orders;
mod explained;
mod harness;
mod hedging;
mod retries;
mod retry_storm;
