use super::*;

digest!(
    /// SHA-256 over the parts by which two requests count as equal: method, path and body, and also
    /// the team where requests of several teams are compared.
    Fingerprint,
    "fingerprint"
);

impl Fingerprint {
    /// The fingerprint of a request. The length of each part is hashed too, so that requests whose
    /// parts are split differently do not collide.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// The fingerprint of this request for one team. It differs between teams, so that a request
    /// of one team is never taken for the same request of another team.
    #[must_use]
    pub fn for_team(&self, team: &TeamId) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.0);
        hasher.update(team.as_str());
        Self(hasher.finalize().into())
    }

    /// A number derived from the fingerprint, uniformly distributed over the range of `u64`.
    pub fn to_u64(&self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    /// The first 16 hex digits, by which log lines can be correlated.
    pub fn short_hex(&self) -> String {
        self.0[..8]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}
