//! Writes lines to a link, and gives up on a receiver that stops reading.

use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

/// How long the receiver may read nothing of what is written to it.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes a line; fails if the receiver reads nothing for [`WRITE_STALL_TIMEOUT`].
pub(super) async fn write_line(
    stream: &mut (impl AsyncWrite + Unpin),
    mut line: &[u8],
) -> std::io::Result<()> {
    while !line.is_empty() {
        let writing = tokio::time::timeout(WRITE_STALL_TIMEOUT, stream.write(line)).await;
        let written = writing.map_err(|_| timed_out())??;
        line = line.get(written..).unwrap_or_default();
    }
    Ok(())
}

/// Returns the error of a link whose other end stalled.
pub(super) fn timed_out() -> std::io::Error {
    std::io::ErrorKind::TimedOut.into()
}
