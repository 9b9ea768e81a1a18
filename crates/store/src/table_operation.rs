use super::*;

/// One conditional write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum TableOperation {
    /// Writes a row that must not exist.
    Insert {
        /// Key of the row.
        key: String,
        /// Its value.
        value: Value,
    },
    /// Removes a row that must have this version.
    Remove {
        /// Version that the row must have.
        expected_row_version: u64,
        /// Key of the row.
        key: String,
    },
    /// Replaces the value of a row that must have this version.
    Replace {
        /// Version that the row must have.
        expected_row_version: u64,
        /// Key of the row.
        key: String,
        /// Its new value.
        value: Value,
    },
}

impl TableOperation {
    /// Key of the row that it writes.
    pub fn key(&self) -> &str {
        match self {
            Self::Insert { key, .. } | Self::Remove { key, .. } | Self::Replace { key, .. } => key,
        }
    }
}
