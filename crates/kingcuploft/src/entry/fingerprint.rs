//! What tells a request that comes again: the same method, host, path, caller and body, under a new id.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tells a request from others, the same at all VMs of one release.
pub type Fingerprint = u64;

/// The parts of a request that stay the same when it comes again.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RequestIdentity<'a> {
    /// Its method.
    pub method: &'a str,
    /// The host that it is for.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// What names its caller, if anything does.
    pub caller: [Option<&'a str>; 2],
    /// Its body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
