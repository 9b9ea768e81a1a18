use super::*;

/// A document together with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The document.
    pub document: Document,
    /// Version of the document.
    pub version: ConfigVersion,
}
