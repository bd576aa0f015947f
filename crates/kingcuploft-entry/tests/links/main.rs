//! Entry VMs on links that carry so many bytes a second, in virtual time: all code is the product's, the network and the
//! store are played.

use kingcuploft_simulation::{link as pipe, store};

mod configurations;
mod evacuations;
mod fleet;
mod interleavings;
mod joining;
mod network;
mod notices;
mod repeats;
mod rewinds;
mod scenarios;
mod slopes;
