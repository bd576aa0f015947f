//! Stand-ins for what surrounds the system: the platform's object API and backend servers.

pub mod backend_server;
pub mod http;
pub mod platform;
pub mod virtual_fleet;
