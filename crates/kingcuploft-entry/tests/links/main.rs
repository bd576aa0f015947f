//! Entry VMs on links of limited bandwidth, in virtual time. All of the VMs' code is the product's; the network and the
//! store are simulated.

use kingcuploft_simulation::{link as pipe, store};

mod configurations;
mod counting;
mod departures;
mod evacuations;
mod fleet;
mod interleavings;
mod joining;
mod lost_answers;
mod network;
mod notices;
mod repeats;
mod rewinds;
mod scenarios;
mod servers;
mod slopes;
