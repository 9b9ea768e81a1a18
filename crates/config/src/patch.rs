use super::*;

/// A change of the configuration, made against one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Who made it.
    pub author: String,
    /// Version that it was made against.
    pub base: ConfigVersion,
    /// Id drawn by the client, by which a lost answer is looked up.
    pub id: String,
    /// What changes, as a JSON Patch (RFC 6902).
    pub operations: JsonPatch,
}
