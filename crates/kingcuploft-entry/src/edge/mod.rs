//! The side of the VM that faces callers: connections, pipelined requests, selection of servers, attempts and answers.

#![deny(clippy::arithmetic_side_effects)]

mod active_request;
pub mod answer;
mod answer_writer;
mod attempt;
pub mod caller_disconnect;
pub(crate) mod caller_key;
pub mod caller_limit;
pub mod connection;
mod connection_state;
pub mod dispatch;
mod hedge;
pub mod idle_callers;
mod limited_servers;
pub mod memory_account;
mod paused_servers;
mod pending_answer;
pub mod readiness;
mod refusal;
mod relay;
pub mod request;
mod selection;
mod suspect;
mod workspace_checks;
