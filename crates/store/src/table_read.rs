use super::*;

/// Request to read several rows in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRead {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// The rows that were read, in the order of the requested keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRows {
    /// One entry per key; `None` if the row does not exist.
    pub rows: Vec<Option<Row>>,
}
