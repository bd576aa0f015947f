//! The basic types of the decisions: ids, VMs, reports on backend servers, contracts, refusals, and text from outside that
//! goes out again.

pub mod backend_server;
pub mod contract;
pub mod ids;
pub mod refusal;
pub mod vm;
pub mod wire_text;
