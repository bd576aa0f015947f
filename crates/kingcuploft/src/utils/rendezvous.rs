//! Rendezvous hashing: every VM that knows the same names chooses the same one.

/// Returns a number that depends on both texts, in this order, alike on every VM.
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
