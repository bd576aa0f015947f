//! The basic types of the decisions: ids, VMs, reports on backend servers, contracts and refusals.

pub mod backend_server;
pub mod contract;
pub mod ids;
pub mod refusal;
pub mod vm;
