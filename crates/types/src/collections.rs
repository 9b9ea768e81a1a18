//! Hash collections with a fast hasher.

/// A hash map with a fast hasher. Its iteration order varies, so no decision may depend on that
/// order.
pub type HashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast hasher; see [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, ahash::RandomState>;
