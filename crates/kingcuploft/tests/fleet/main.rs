//! A simulated fleet of entry VMs in virtual time, with the decisions of `kingcuploft::entry`, judged by the answers
//! that callers get. Servers change their speed several times a second, probes take slot time, and links have latency.

mod drawn;
mod fleet;
mod scenarios;
mod vm;
mod world;
