use super::*;

/// Reads several rows in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRead {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Rows read, in the order of the keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRows {
    /// One for each key; `None` where there is no row.
    pub rows: Vec<Option<Row>>,
}
