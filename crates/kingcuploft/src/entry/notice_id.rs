//! The names of notices in the platform's store.

/// Names a notice in the store; what it is about is in the name.
pub type NoticeId = String;
