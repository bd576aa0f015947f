//! The links between the VMs of an availability zone: what one VM reads of the platform's store, it
//! passes on to those that follow it.

pub mod dial;
mod feed;
pub mod feeder;
pub mod follower;
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
pub mod sync_status;
pub mod turns;
