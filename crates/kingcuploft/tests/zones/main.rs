//! Hundreds of VMs of several zones that find each other, feed each other and restart, in virtual time and without a
//! network: the decisions are the product's, links and store are simulated.

mod fleet;
mod leading;
mod links;
mod scenarios;
