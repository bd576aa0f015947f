//! The links over which the VMs of an availability zone replicate the platform's store: one VM reads it and feeds its
//! followers, which may feed followers of their own (a dissemination tree). Beside that, VMs exchange short messages
//! about backend servers by datagram.

#![deny(clippy::arithmetic_side_effects)]

pub mod dial;
mod feed;
pub mod feeder;
pub mod follower;
mod follower_queue;
pub mod followers;
pub mod frame;
mod line_writer;
pub mod lines;
pub mod link_error;
pub mod load_reports;
pub mod peer_socket;
pub mod pending_turns;
pub mod reader_failover;
pub mod repeat_replication;
pub mod seeds;
pub(crate) mod snapshot;
pub mod sync_status;
mod transfer;
pub mod turns;
