//! Hash collections with a fast hasher.

/// A hash map with a fast hasher. Its order of iteration is not fixed, so no
/// decision may rest on it.
pub type HashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast hasher; see [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, ahash::RandomState>;
