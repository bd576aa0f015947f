//! The links between the VMs of an availability zone: what one VM reads of the platform's store, it
//! passes on to those that follow it.

pub mod asked_turns;
pub mod away;
pub mod dial;
mod feed;
pub mod follower;
pub mod followers;
pub mod frame;
pub mod lines;
pub mod link_error;
pub mod reader;
pub mod readings;
pub mod repeat_copies;
pub mod seeds;
pub mod standing;
pub mod turns;
mod writing;
pub mod zone_socket;
