//! The keys of notices in the platform's store.

/// The key of a notice, which contains what the notice is about.
pub type NoticeId = String;
