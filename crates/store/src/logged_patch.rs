use super::*;

/// The row of one version: the patch that made it, and from time to time the
/// whole document, so that a new host need not start from the first version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoggedPatch {
    /// The patch; `None` for the first version.
    pub patch: Option<Patch>,
    /// The whole document, on every so many versions.
    pub snapshot: Option<Document>,
}
