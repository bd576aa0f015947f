//! Entry VMs on links that carry so many bytes a second, in virtual time: all code is the product's, the network and the
//! store are played.

#[path = "../entry/store.rs"]
#[expect(dead_code, reason = "shared with tests that use more of it")]
mod store;

mod configurations;
mod evacuations;
mod fleet;
mod interleavings;
mod joining;
mod network;
mod notices;
mod pipe;
mod repeats;
mod rewinds;
mod scenarios;
mod slopes;
