use super::*;

/// Short hash that identifies one incarnation of an engine. Every host computes the same key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EngineKey([u8; 3]);

impl EngineKey {
    /// Computes the key of an engine. Two engines may have the same key.
    pub fn new(id: &UpstreamId) -> Self {
        let digest: [u8; 32] = Sha256::digest(id.to_string().as_bytes()).into();
        Self([digest[0], digest[1], digest[2]])
    }
}
