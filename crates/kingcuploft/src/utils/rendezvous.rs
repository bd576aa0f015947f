//! Rendezvous hashing (highest random weight): all VMs that know the same names choose the same one.

/// Returns the weight of the pair (`a`, `b`), which is the same on every VM; the order of the two matters.
pub fn rendezvous(a: &str, b: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(a.as_bytes())
        .update(b"\0")
        .update(b.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
