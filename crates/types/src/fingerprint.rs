use super::*;

digest!(
    /// SHA-256 over what makes two requests the same: method, path and body; and, where
    /// requests of several teams are compared, the team.
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

    /// The fingerprint of the same request as one of a team: what one team sends says
    /// nothing of another team's requests.
    #[must_use]
    pub fn for_team(&self, team: &TeamId) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.0);
        hasher.update(team.as_str());
        Self(hasher.finalize().into())
    }

    /// A number that is spread evenly over all fingerprints.
    pub fn to_u64(&self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    /// The first digits, by which log lines are compared.
    pub fn short_hex(&self) -> String {
        self.0[..8]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}
