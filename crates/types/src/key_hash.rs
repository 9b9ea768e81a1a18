use super::*;

digest!(
    /// SHA-256 of a team's bearer key. The key itself is never kept or logged,
    /// and looking a hash up leaks nothing about the key by its timing.
    KeyHash,
    "key hash"
);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}
