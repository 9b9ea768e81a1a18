use super::*;

/// One conditional write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum TableOperation {
    /// Inserts a row, which must not exist yet.
    Insert {
        /// Key of the row.
        key: String,
        /// Value of the row.
        value: Value,
    },
    /// Removes a row if it has the expected version.
    Remove {
        /// Version that the row must have.
        expected_row_version: u64,
        /// Key of the row.
        key: String,
    },
    /// Replaces the value of a row if the row has the expected version.
    Replace {
        /// Version that the row must have.
        expected_row_version: u64,
        /// Key of the row.
        key: String,
        /// New value of the row.
        value: Value,
    },
}

impl TableOperation {
    /// Returns the key of the row that the operation writes.
    pub fn key(&self) -> &str {
        match self {
            Self::Insert { key, .. } | Self::Remove { key, .. } | Self::Replace { key, .. } => key,
        }
    }
}
