//! Applies a manifest: the accepted generation, or truthfully that it is not known.

use std::path::Path;

use kingcuploft::manifest::reader;
use kingcuploft_platform::client::Client;
use kingcuploft_platform::manifest_root::{self, Applied};

/// Why a manifest was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The file could not be read.
    #[error("{0}")]
    Unreadable(String),
    /// The manifest is wrong.
    #[error("{0}")]
    Invalid(String),
    /// The store did not do it.
    #[error("{0}")]
    Store(#[from] manifest_root::ApplyError),
}

/// Reads, checks and applies a manifest file.
///
/// # Errors
///
/// [`ApplyError`] where it is certain that nothing was written.
pub fn apply(platform: &str, file: &Path) -> Result<Applied, ApplyError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| ApplyError::Unreadable(format!("{name}: {error}")))?;
    let manifest = reader::read(&name, &text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        ApplyError::Invalid(lines.join("\n"))
    })?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let id = format!(
        "{}-{}",
        std::process::id(),
        now.map_or(0, |now| now.as_nanos())
    );
    Ok(manifest_root::apply(&Client::new(platform), manifest, &id)?)
}
