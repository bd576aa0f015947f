//! Small helpers that more than one module needs.

pub mod rendezvous;

/// A hash map with a fast hasher; not for keys an attacker picks without a bound on their number.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;

/// Returns a hash that is the same in all processes of one release.
pub fn digest(value: &impl std::hash::Hash) -> u64 {
    use std::hash::Hasher;

    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
