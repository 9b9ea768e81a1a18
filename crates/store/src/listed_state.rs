use super::*;

/// State of a host or upstream in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Requested to leave the installation.
    Leaving,
    /// In use.
    Live,
}
