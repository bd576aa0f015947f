//! A fleet in virtual time: the daemon's own dispatchers, and small fakes of what surrounds them.
//!
//! Every entry VM runs [`kingcuploft::dispatcher::Dispatcher`] as it stands; backend servers, links,
//! claims and callers are fakes at its interface. Arrivals and work times are drawn from the seed
//! before the run, so that every policy meets the same work. There is no store and no membership
//! protocol here.

mod calls;
pub mod change;
mod changes;
pub mod claims;
pub mod deployment;
pub mod fleet;
pub mod ideal;
pub mod outcome;
pub mod policies;
mod probes;
mod run;
pub mod scenario;
pub mod server;
pub mod workload;

pub use deployment::Deployment;
pub use fleet::run;
pub use outcome::Outcome;
pub use run::Run;
