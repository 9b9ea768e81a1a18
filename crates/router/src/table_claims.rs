use super::*;

/// Number of attempts to read back a claim whose write got no answer.
const MAX_READ_BACKS: u32 = 3;

/// Wait before the first read-back, or before the first retry of a settlement or release. It
/// doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait between two retries of a settlement or release.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Writes claims of idempotency keys and their settlements to the platform's table.
#[derive(Clone, Debug)]
pub(crate) struct TableClaims {
    client: Arc<PlatformClient>,
}

impl TableClaims {
    pub(crate) const fn new(client: Arc<PlatformClient>) -> Self {
        Self { client }
    }

    /// Claims several keys in one call and returns the result of each.
    pub(crate) async fn claim(&self, claims: &[ClaimRequest]) -> Vec<ClaimResult> {
        let operations = claims.iter().map(insert_claim).collect();
        let rows = match self.write(operations).await {
            Ok(results) => results.into_iter().map(|result| result.row).collect(),
            Err(error) if error.may_have_taken_effect() => match self.read_back(claims).await {
                Some(rows) => rows,
                None => return vec![ClaimResult::Unknown; claims.len()],
            },
            Err(_) => return vec![ClaimResult::NotWritten; claims.len()],
        };
        let mut answers = Vec::with_capacity(claims.len());
        for (claim, row) in claims.iter().zip(rows) {
            let answer = match row {
                Some(row) => self.resolve_row(claim, &row).await,
                None => ClaimResult::Unknown,
            };
            answers.push(answer);
        }
        answers
    }

    /// Determines a claim's result from its row. If the row is released, the key is claimed.
    async fn resolve_row(&self, claim: &ClaimRequest, row: &Row) -> ClaimResult {
        match serde_json::from_value::<ClaimRow>(row.value.clone()) {
            Ok(found) if found.state == ClaimState::Released => {}
            Ok(found) => return claim_result(claim, found),
            Err(_) => return ClaimResult::MayHaveRun,
        }
        let replace = TableOperation::Replace {
            expected_row_version: row.row_version,
            key: row.key.clone(),
            value: claim_value(claim, ClaimState::Claimed),
        };
        let row = match self.write(vec![replace]).await {
            Ok(mut results) => results.pop().and_then(|result| result.row),
            Err(error) if error.may_have_taken_effect() => self
                .read_back(std::slice::from_ref(claim))
                .await
                .and_then(|mut rows| rows.pop().flatten()),
            Err(_) => return ClaimResult::NotWritten,
        };
        match row.map(|row| serde_json::from_value::<ClaimRow>(row.value)) {
            Some(Ok(found)) if found.state == ClaimState::Released => ClaimResult::Unknown,
            Some(Ok(found)) => claim_result(claim, found),
            Some(Err(_)) => ClaimResult::MayHaveRun,
            None => ClaimResult::Unknown,
        }
    }

    async fn write(
        &self,
        operations: Vec<TableOperation>,
    ) -> Result<Vec<TableResult>, PlatformError> {
        let batch = TableBatch {
            atomic: false,
            operations,
        };
        Ok(self.client.write(&batch).await?.results)
    }

    /// Reads back claims whose write may have taken effect. The attempt id in a row shows which
    /// attempt wrote it.
    ///
    /// Without this, a written claim could be treated as lost, and its key would be refused for
    /// ever. Or a lost claim could be treated as written, and a second host would send the
    /// request, too.
    async fn read_back(&self, claims: &[ClaimRequest]) -> Option<Vec<Option<Row>>> {
        let keys: Vec<String> = claims.iter().map(claim_key).collect();
        let mut backoff = INITIAL_BACKOFF;
        for _ in 0..MAX_READ_BACKS {
            sleep(backoff).await;
            backoff *= 2;
            if let Ok(rows) = self.client.read(keys.clone()).await {
                return Some(rows);
            }
        }
        None
    }

    /// Writes the outcome of a claimed request. It retries without a limit, as no other host can
    /// settle the claim.
    pub(crate) async fn settle(&self, settlement: &Settlement) {
        let mut backoff = INITIAL_BACKOFF;
        while !self.try_settle(settlement).await {
            sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Releases a claim that may have been written and whose request was never sent.
    pub(crate) async fn release(&self, claim: &ClaimRequest) {
        let mut backoff = INITIAL_BACKOFF;
        while !self.try_release(claim).await {
            sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Tries once to release a claim. Returns true if the claim neither exists nor can be written
    /// later. A missing row does not prove that, as the claim's write may still be in flight. So
    /// a released row is inserted, and a late write of the claim conflicts with it.
    async fn try_release(&self, claim: &ClaimRequest) -> bool {
        let insert = TableOperation::Insert {
            key: claim_key(claim),
            value: claim_value(claim, ClaimState::Released),
        };
        let Ok(mut results) = self.write(vec![insert]).await else {
            return false;
        };
        let Some(result) = results.pop() else {
            return false;
        };
        if result.applied {
            return true;
        }
        self.try_settle(&Settlement {
            response: None,
            attempt: claim.attempt,
            key: claim.key.clone(),
            team: claim.team.clone(),
            verdict: Verdict::NotRun,
        })
        .await
    }

    /// Tries once to settle a claim. Returns true if nothing is left to do.
    async fn try_settle(&self, settlement: &Settlement) -> bool {
        let key = ClaimRow::key(&settlement.team, &settlement.key);
        let Ok(rows) = self.client.read(vec![key]).await else {
            return false;
        };
        let Some(row) = rows.into_iter().next().flatten() else {
            return true;
        };
        let Ok(claim) = serde_json::from_value::<ClaimRow>(row.value.clone()) else {
            return true;
        };
        if claim.attempt != settlement.attempt || claim.state != ClaimState::Claimed {
            return true;
        }
        // A conflict means that an earlier try took effect although its answer was lost. The next
        // try reads the row and returns true.
        let operation = settle_operation(&row, claim, settlement);
        matches!(self.write(vec![operation]).await, Ok(results) if results[0].applied)
    }
}

fn claim_key(claim: &ClaimRequest) -> String {
    ClaimRow::key(&claim.team, &claim.key)
}

fn claim_value(claim: &ClaimRequest, state: ClaimState) -> serde_json::Value {
    row_value(&ClaimRow {
        attempt: claim.attempt,
        fingerprint: claim.fingerprint,
        state,
    })
}

fn row_value(row: &ClaimRow) -> serde_json::Value {
    serde_json::to_value(row).expect("a row has only text keys")
}

fn insert_claim(claim: &ClaimRequest) -> TableOperation {
    TableOperation::Insert {
        key: claim_key(claim),
        value: claim_value(claim, ClaimState::Claimed),
    }
}

fn settle_operation(row: &Row, claim: ClaimRow, settlement: &Settlement) -> TableOperation {
    let state = match settlement.verdict {
        Verdict::NotRun => ClaimState::Released,
        Verdict::MayHaveRun => ClaimState::MayHaveRun,
        Verdict::Ran => ClaimState::Ran {
            answer: settlement
                .response
                .as_ref()
                .and_then(|answer| serde_json::to_value(answer).ok()),
        },
    };
    TableOperation::Replace {
        expected_row_version: row.row_version,
        key: row.key.clone(),
        value: row_value(&ClaimRow { state, ..claim }),
    }
}

fn claim_result(claim: &ClaimRequest, found: ClaimRow) -> ClaimResult {
    if found.fingerprint != claim.fingerprint {
        return ClaimResult::KeyReused;
    }
    match found.state {
        ClaimState::Claimed if found.attempt == claim.attempt => ClaimResult::Granted,
        ClaimState::Claimed => ClaimResult::InProgress,
        ClaimState::MayHaveRun => ClaimResult::MayHaveRun,
        ClaimState::Ran { answer } => {
            ClaimResult::Ran(answer.and_then(|answer| serde_json::from_value(answer).ok()))
        }
        ClaimState::Released => ClaimResult::Unknown,
    }
}
