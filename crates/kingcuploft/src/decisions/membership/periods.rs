//! The periods of the settings as times.

use std::time::Duration;

use crate::settings::membership::MembershipSettings;

impl MembershipSettings {
    pub(super) fn beat(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    pub(super) fn suspect(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }

    pub(super) fn gone(&self) -> Duration {
        Duration::from_millis(self.gone_ms)
    }

    pub(super) fn forget(&self) -> Duration {
        Duration::from_millis(self.forget_ms)
    }
}
