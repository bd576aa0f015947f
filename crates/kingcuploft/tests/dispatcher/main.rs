//! The dispatcher under faults: what every caller receives, and what is never sent twice.

mod adoption;
mod deadlines;
mod explained;
mod hedging;
mod orders;
mod retries;
mod storm;
mod world;
