//! Where callers come in: connections, requests as they come, answers in their order.

pub mod answer;
mod attempt;
mod choosing;
pub mod connection;
pub mod dispatch;
mod flight;
pub mod gone;
mod limited;
pub mod readiness;
pub mod request;
pub mod room;
mod second_look;
mod suspect;
