use super::*;

/// The table row that holds the number of the newest configuration version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// Newest version.
    pub version: ConfigVersion,
}
