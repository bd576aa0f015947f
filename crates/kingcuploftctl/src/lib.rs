//! The command-line tool's commands, for its `main` and for tests.

pub mod apply;
