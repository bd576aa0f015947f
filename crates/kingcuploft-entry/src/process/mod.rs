//! The life of the process of one entry VM, from its first step to its last line.

pub mod ending;
pub mod signals;
