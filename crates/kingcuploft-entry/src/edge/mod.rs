//! Where callers come in: connections, requests as they come, answers in their order.

pub mod answer;
pub mod connection;
pub mod dispatch;
pub mod readiness;
pub mod request;
