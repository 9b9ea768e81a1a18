use super::*;

digest!(
    /// SHA-256 of a team's bearer key. The key itself is never stored or logged, and the timing of
    /// a lookup by hash reveals nothing about the key.
    KeyHash,
    "key hash"
);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}
