use super::*;

/// A change to one version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Author of the change.
    pub author: String,
    /// Version that the patch applies to.
    pub base: ConfigVersion,
    /// Unique id chosen by the client. If the response to a submission is lost, the client finds
    /// out by this id whether the patch was accepted.
    pub id: String,
    /// The change as a JSON Patch (RFC 6902).
    pub operations: JsonPatch,
}
