use super::*;

/// The table row of one configuration version: the patch that produced the version and, at regular
/// intervals, a snapshot of the whole document, so that a new host does not have to apply all
/// patches since the first version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoggedPatch {
    /// The patch; `None` for the first version.
    pub patch: Option<Patch>,
    /// The whole document; `None` on versions without a snapshot.
    pub snapshot: Option<Document>,
}
