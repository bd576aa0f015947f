//! Discrete-event simulation of a fleet in virtual time: the daemon's own dispatchers, with fakes of
//! everything that they communicate with.
//!
//! Every entry VM runs an unmodified [`kingcuploft::dispatcher::Dispatcher`]; backend servers, links, claims and
//! callers are fakes behind its interface. Arrivals and work times are drawn from the seed before the run, so that
//! every load-balancing policy gets the same workload. The store and the membership protocol are not simulated.

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
