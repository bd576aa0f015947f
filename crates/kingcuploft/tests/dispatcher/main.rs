//! Tests of the dispatcher under faults: which answer every caller receives, and which requests are never sent twice.

mod adoption;
mod deadlines;
mod event_orders;
mod explained;
mod harness;
mod hedging;
mod retries;
mod retry_storm;
