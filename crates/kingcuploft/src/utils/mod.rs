//! Hash maps, hash sets and hash functions that several modules use.

pub mod json_text;
pub mod rendezvous;

/// A hash map with a fast hasher. An attacker can construct colliding keys, so keys that callers choose need a bound on
/// their number.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same fast hasher as [`HashMap`].
pub type HashSet<K> = rustc_hash::FxHashSet<K>;

/// Returns a 64-bit hash that is the same in all processes of one release.
pub fn digest(value: &impl std::hash::Hash) -> u64 {
    use std::hash::Hasher;

    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
