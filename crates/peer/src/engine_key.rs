use super::*;

/// Short name of one incarnation of an engine, the same on every host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EngineKey([u8; 3]);

impl EngineKey {
    /// The key of an engine. Two engines may share one.
    pub fn new(id: &UpstreamId) -> Self {
        let digest: [u8; 32] = Sha256::digest(id.to_string().as_bytes()).into();
        Self([digest[0], digest[1], digest[2]])
    }
}
