//! The parts of a configuration that arrive over one link, for the log.

use std::time::Instant;

use kingcuploft::entry::configuration::ConfigurationVersion;
use tokio::io::AsyncRead;

use super::lines::Lines;
use crate::clock;

/// The parts of a configuration that have arrived over one link, to be logged.
#[derive(Debug, Default)]
pub(super) struct Transfer {
    parts: u32,
    bytes: usize,
    started_at: Option<Instant>,
}

impl Transfer {
    /// Counts the part in the line that was read last.
    pub(super) fn add_line<R: AsyncRead + Unpin>(&mut self, lines: &Lines<R>) {
        let (bytes, duration) = lines.last_line();
        let started_at = clock::now().checked_sub(duration);
        self.started_at = self.started_at.or(started_at);
        self.parts += 1;
        self.bytes += bytes;
    }

    /// Logs that the configuration is complete, and begins anew.
    pub(super) fn log_complete(&mut self, version: ConfigurationVersion) {
        let Self {
            parts,
            bytes,
            started_at,
        } = std::mem::take(self);
        let duration =
            started_at.map(|started_at| clock::now().saturating_duration_since(started_at));
        let took_ms = duration.unwrap_or_default().as_millis() as u64;
        tracing::info!(
            event = "configuration_arrived",
            version,
            parts,
            bytes,
            took_ms
        );
    }
}
