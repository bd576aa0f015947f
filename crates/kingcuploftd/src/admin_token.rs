//! The bearer token of the admin port, read from a file and reloaded when the file changes.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

use http::HeaderMap;
use http::header::AUTHORIZATION;

/// The token of the admin port.
#[derive(Debug)]
pub struct AdminToken {
    file: PathBuf,
    cached: Mutex<CachedToken>,
}

/// The token of the last read; only its hash is kept, so that no log line can contain the token.
#[derive(Debug, Default)]
struct CachedToken {
    file_version: Option<(SystemTime, u64)>,
    hash: Option<blake3::Hash>,
}

impl AdminToken {
    /// Builds the token of a file, which is read at the first request.
    pub fn new(file: PathBuf) -> Self {
        Self {
            file,
            cached: Mutex::default(),
        }
    }

    /// Returns whether a request carries the valid token. While the file cannot be read, the last token stays valid; if
    /// it was never read or is empty, no request is authorized.
    pub fn is_valid(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return false;
        };
        let Some(token) = value.to_str().ok().and_then(|v| v.strip_prefix("Bearer ")) else {
            return false;
        };
        // Hashes are compared in constant time, so that the time does not reveal how much of a guess is right.
        self.hash() == Some(blake3::hash(token.trim().as_bytes()))
    }

    fn hash(&self) -> Option<blake3::Hash> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let file_version = std::fs::metadata(&self.file)
            .and_then(|meta| Ok((meta.modified()?, meta.len())))
            .ok();
        if file_version.is_some() && file_version != cached.file_version {
            match std::fs::read_to_string(&self.file) {
                Ok(token) => {
                    let token = token.trim();
                    let hash = blake3::hash(token.as_bytes());
                    cached.hash = (!token.is_empty()).then_some(hash);
                    cached.file_version = file_version;
                    tracing::info!("admin: loaded the token.");
                }
                Err(error) => tracing::warn!("admin: cannot read the token: {error}."),
            }
        }
        cached.hash
    }
}
