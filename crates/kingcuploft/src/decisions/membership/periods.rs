//! The periods of the membership settings as durations.

use std::time::Duration;

use crate::settings::membership::MembershipSettings;

impl MembershipSettings {
    pub(super) fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    pub(super) fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }

    pub(super) fn gone_after(&self) -> Duration {
        Duration::from_millis(self.gone_ms)
    }

    pub(super) fn forget_after(&self) -> Duration {
        Duration::from_millis(self.forget_ms)
    }
}
