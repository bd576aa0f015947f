//! Fingerprints that recognise a request that is sent again: same method, host, path, caller and body, under a new id.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The hash that identifies a request, the same on all VMs of one release.
pub type Fingerprint = u64;

/// The parts of a request that stay the same when it is sent again.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RequestIdentity<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its host.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// The values that identify its caller, if any.
    pub caller: [Option<&'a str>; 2],
    /// Its body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the request's fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
