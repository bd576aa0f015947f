//! The notice by which VMs tell each other that a backend server advertises a rate limit.

use serde::{Deserialize, Serialize};

use super::notice_id::NoticeId;
use super::server_limit::PerSecond;
use crate::world::ids::BackendServerName;

/// Prefix of the keys of limit notices.
const PREFIX: &str = "limit.";

/// A server advertises a rate limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The server.
    pub server: BackendServerName,
    /// Requests per second that it accepts from all VMs together.
    pub per_s: PerSecond,
}

impl LimitNotice {
    /// Returns the notice's key in the store.
    pub fn id(&self) -> NoticeId {
        id(&self.server)
    }

    /// Returns the server's name from a notice's key, or `None` for other keys.
    pub fn parse_id(id: &str) -> Option<&str> {
        id.strip_prefix(PREFIX)
    }
}

/// Returns the key of a server's limit notice.
pub fn id(server: &str) -> NoticeId {
    format!("{PREFIX}{server}")
}
