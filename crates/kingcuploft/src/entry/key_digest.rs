//! Digests of workspaces' keys. Only digests are kept in memory and told to other VMs, never the keys.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

/// The context of the digest, so that no other use of the hash function gives the same value.
const CONTEXT: &str = "kingcuploft workspace key";

/// The length of a digest, in bytes: long enough that no two keys share one.
const DIGEST_BYTES: usize = 16;

/// The number of characters of a digest that are shown in debug output.
const SHOWN_CHARACTERS: usize = 6;

/// The digest of a key, the same on all VMs.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// A text is not the digest of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the digest of a key is malformed")]
pub struct MalformedDigest;

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let whole = blake3::derive_key(CONTEXT, key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = String::from(*self);
        let shown = text.get(..SHOWN_CHARACTERS).unwrap_or_default();
        write!(f, "KeyDigest({shown})")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        URL_SAFE_NO_PAD.encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = MalformedDigest;

    fn try_from(text: String) -> Result<Self, MalformedDigest> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| MalformedDigest)?;
        let digest = bytes.try_into().map_err(|_| MalformedDigest)?;
        Ok(Self(digest))
    }
}
