//! Writes to a link, for as long as the other side takes some.

use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

/// How long the other side may take nothing of what is written to it.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes a line.
pub(super) async fn write_line(
    stream: &mut (impl AsyncWrite + Unpin),
    mut line: &[u8],
) -> std::io::Result<()> {
    while !line.is_empty() {
        let writing = tokio::time::timeout(WRITE_STALL_TIMEOUT, stream.write(line)).await;
        let written = writing.map_err(|_| timed_out())??;
        line = &line[written..];
    }
    Ok(())
}

/// Returns the error of a link whose other side takes or says nothing.
pub(super) fn timed_out() -> std::io::Error {
    std::io::ErrorKind::TimedOut.into()
}
