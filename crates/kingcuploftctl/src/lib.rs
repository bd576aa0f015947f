//! The commands of the operators' command-line tool, for its `main` and for tests.

pub mod admin_client;
pub mod apply;
pub mod args;
pub mod claim;
pub mod connections;
pub mod context;
pub mod diff;
pub mod drain;
pub mod entry_metrics;
pub mod exit;
pub mod explain;
pub mod help;
pub mod in_force;
pub mod list;
pub mod manifest;
pub mod run;
pub mod status;
pub mod trace;
pub mod visible;
pub mod workspaces;
