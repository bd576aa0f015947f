//! Entry VMs between callers, backend servers and a store, checked by what these observe.

use kingcuploft_simulation::store;

mod absurd_figures;
mod answers;
mod callers;
mod cold;
mod cut_fleet;
mod cut_off;
mod cut_usable;
mod endless;
mod endless_answers;
mod evacuation;
mod following;
mod invalid_statuses;
mod leaving;
mod limits;
mod odd_ids;
mod operating;
mod pauses;
mod protected;
mod quarantine;
mod relaying;
mod rewinds;
mod server;
mod server_answers;
mod short_descriptors;
mod stopping;
mod stopping_cuts;
mod stopping_search;
mod store_faults;
mod testbed;
mod unsendable;
mod unused_servers;
mod workspaces;
