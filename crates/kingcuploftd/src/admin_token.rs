//! The bearer token of the admin port, read from a file and again when the file changes.

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

/// The token as it was last read; only its hash is kept, so that no log line can show it.
#[derive(Debug, Default)]
struct CachedToken {
    file_version: Option<(SystemTime, u64)>,
    hash: Option<blake3::Hash>,
}

impl AdminToken {
    /// Builds the token of a file; it is read with the first request.
    pub fn new(file: PathBuf) -> Self {
        Self {
            file,
            cached: Mutex::default(),
        }
    }

    /// Tells whether a request carries the token. A file that can not be read just now leaves the
    /// last token in force; one that was never read or is empty lets nobody in.
    pub fn is_valid(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return false;
        };
        let Some(token) = value.to_str().ok().and_then(|v| v.strip_prefix("Bearer ")) else {
            return false;
        };
        // Hashes are compared in a time that does not tell how much of a guess is right.
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
                    tracing::info!("admin: the token was read.");
                }
                Err(error) => tracing::warn!("admin: the token can not be read: {error}."),
            }
        }
        cached.hash
    }
}
