use super::*;

digest!(
    /// SHA-256 over what makes two requests the same: method, path and body.
    Fingerprint,
    "fingerprint"
);

impl Fingerprint {
    /// The fingerprint of a request. Lengths are hashed too, so that no two
    /// requests run into each other.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}
