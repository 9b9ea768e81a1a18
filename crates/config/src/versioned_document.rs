use super::*;

/// A document together with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The document.
    pub document: Document,
    /// Its version.
    pub version: ConfigVersion,
}
