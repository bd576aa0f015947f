//! The world the decisions are about: machines, zones, callers, contracts and refusals.

pub mod backend_server;
pub mod contract;
pub mod ids;
pub mod refusal;
pub mod vm;
