//! A fleet of entry VMs in virtual time, on the decisions of `kingcuploft::entry`, judged by what callers
//! get. Servers change their speed several times a second, probes take slot time, links take time.

mod drawn;
mod fleet;
mod scenarios;
mod vm;
mod world;
