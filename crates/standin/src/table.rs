use super::*;

/// The rows of the platform stand-in's table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    pub(crate) fn read(&self, read: &TableRead) -> TableRows {
        let rows = read.keys.iter().map(|key| self.rows.get(key).cloned());
        TableRows {
            rows: rows.collect(),
        }
    }

    /// Evaluates the conditions of all operations before applying the first one, as a
    /// real table may. Each operation of a batch must therefore be on a different row.
    pub(crate) fn write(&mut self, batch: TableBatch) -> TableResults {
        let condition_holds: Vec<bool> = batch
            .operations
            .iter()
            .map(|op| self.condition_holds(op))
            .collect();
        let all = condition_holds
            .iter()
            .all(|condition_holds| *condition_holds);
        let results = batch
            .operations
            .into_iter()
            .zip(condition_holds)
            .map(|(operation, condition_holds)| {
                let key = operation.key().to_string();
                let applied = condition_holds && (all || !batch.atomic);
                if applied {
                    self.apply(operation);
                }
                TableResult {
                    applied,
                    row: self.rows.get(&key).cloned(),
                }
            })
            .collect();
        TableResults { results }
    }

    fn condition_holds(&self, operation: &TableOperation) -> bool {
        let row = self.rows.get(operation.key());
        match operation {
            TableOperation::Insert { .. } => row.is_none(),
            TableOperation::Remove {
                expected_row_version,
                ..
            }
            | TableOperation::Replace {
                expected_row_version,
                ..
            } => row.is_some_and(|row| row.row_version == *expected_row_version),
        }
    }

    fn apply(&mut self, operation: TableOperation) {
        match operation {
            TableOperation::Insert { key, value } => {
                let row = Row {
                    key: key.clone(),
                    row_version: 1,
                    value,
                };
                self.rows.insert(key, row);
            }
            TableOperation::Remove { key, .. } => {
                self.rows.remove(&key);
            }
            TableOperation::Replace { key, value, .. } => {
                if let Some(row) = self.rows.get_mut(&key) {
                    row.row_version += 1;
                    row.value = value;
                }
            }
        }
    }
}
