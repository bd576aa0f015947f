//! One entry VM between callers, backend servers and a store, judged by what they see.

use kingcuploft_simulation::store;

mod answers;
mod callers;
mod cold;
mod evacuation;
mod following;
mod limits;
mod operating;
mod protected;
mod quarantine;
mod rewinds;
mod server;
mod stopping;
mod store_faults;
mod world;
