use super::*;

/// Every so many versions the whole document is written.
const SNAPSHOT_INTERVAL: u64 = 50;

/// Row that holds the number of the newest version.
const HEAD_KEY: &str = "config/head";

/// Times that a lost answer is looked up before it is reported as unknown.
const MAX_LOOKUPS: u32 = 4;

/// Longest pause between two look-ups.
const MAX_LOOKUP_PAUSE_MS: u64 = 200;

/// Versions read in one call.
const MAX_VERSIONS_PER_READ: u64 = 100;

/// The shared configuration in the platform's table: one row for each version,
/// and a head that moves by compare-and-set together with the row it names.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    client: Arc<PlatformClient>,
}

impl ConfigStore {
    /// The configuration in this platform's table.
    pub const fn new(client: Arc<PlatformClient>) -> Self {
        Self { client }
    }

    /// Writes the first version, if there is none.
    pub async fn create(&self, document: Document) -> Result<ConfigVersion, ConfigStoreError> {
        let version = ConfigVersion::default().next();
        let first = LoggedPatch {
            patch: None,
            snapshot: Some(document),
        };
        let batch = TableBatch {
            atomic: true,
            operations: vec![
                TableOperation::Insert {
                    key: HEAD_KEY.to_string(),
                    value: to_value(&ConfigHead { version }),
                },
                TableOperation::Insert {
                    key: version_key(version),
                    value: to_value(&first),
                },
            ],
        };
        let results = self.client.write(&batch).await?;
        if results.results.iter().all(|result| result.applied) {
            return Ok(version);
        }
        let (head, _) = self.read_head().await?;
        Err(ConfigStoreError::Stale {
            current: head.version,
        })
    }

    /// Number of the newest version.
    pub async fn newest_version(&self) -> Result<ConfigVersion, ConfigStoreError> {
        self.read_head().await.map(|(head, _)| head.version)
    }

    /// Reads the newest version.
    pub async fn read(&self) -> Result<VersionedDocument, ConfigStoreError> {
        let newest = self.newest_version().await?;
        self.read_version(newest, None).await
    }

    /// Reads the newest version if it is newer than `known`, by the patches
    /// since then where possible.
    pub async fn read_newer(
        &self,
        known: Option<&VersionedDocument>,
    ) -> Result<Option<VersionedDocument>, ConfigStoreError> {
        let newest = self.newest_version().await?;
        if known.is_some_and(|known| known.version >= newest) {
            return Ok(None);
        }
        self.read_version(newest, known).await.map(Some)
    }

    /// Reads one version.
    pub async fn read_version(
        &self,
        version: ConfigVersion,
        known: Option<&VersionedDocument>,
    ) -> Result<VersionedDocument, ConfigStoreError> {
        let snapshot = last_snapshot(version);
        let (mut document, mut reached) = match known {
            Some(known) if known.version < version && known.version >= snapshot => {
                (Some(known.document.clone()), known.version)
            }
            _ => (None, ConfigVersion::new(snapshot.get().saturating_sub(1))),
        };
        while reached < version {
            let first = reached.next();
            let last = version.get().min(reached.get() + MAX_VERSIONS_PER_READ);
            for logged in self.read_log(first, ConfigVersion::new(last)).await? {
                document = Some(apply_logged(document, logged)?);
            }
            reached = ConfigVersion::new(last);
        }
        let document = document.ok_or(ConfigStoreError::Missing)?;
        Ok(VersionedDocument { document, version })
    }

    /// Reads the rows of several versions.
    pub async fn read_log(
        &self,
        first: ConfigVersion,
        last: ConfigVersion,
    ) -> Result<Vec<LoggedPatch>, ConfigStoreError> {
        let keys = (first.get()..=last.get())
            .map(|number| version_key(ConfigVersion::new(number)))
            .collect();
        let rows = self.client.read(keys).await?;
        rows.into_iter()
            .map(|row| from_row(&row.ok_or(ConfigStoreError::Missing)?))
            .collect()
    }

    /// Makes a patch the next version. A patch whose id is in the log already
    /// has been accepted before: its version is returned again, so that a
    /// client whose answer was lost may simply submit it once more.
    pub async fn submit(&self, patch: &Patch) -> Result<ConfigVersion, ConfigStoreError> {
        let (head, head_row_version) = self.read_head().await?;
        if let Some(version) = self.find_version(patch, head.version).await? {
            return Ok(version);
        }
        if patch.base != head.version {
            return Err(ConfigStoreError::Stale {
                current: head.version,
            });
        }
        let current = self.read_version(head.version, None).await?;
        let document = current.document.patched(&patch.operations)?;
        let version = head.version.next();
        let batch = version_batch(version, head_row_version, patch, document);
        match self.client.write(&batch).await {
            Ok(results) if results.results.iter().all(|result| result.applied) => Ok(version),
            Ok(_) => self.resolve_conflict(patch).await,
            Err(error) if error.may_have_taken_effect() => self.resolve_lost_response(patch).await,
            Err(error) => Err(error.into()),
        }
    }

    /// Another patch was first, or this one was, by an earlier call.
    async fn resolve_conflict(&self, patch: &Patch) -> Result<ConfigVersion, ConfigStoreError> {
        let current = self.newest_version().await?;
        match self.find_version(patch, current).await? {
            Some(version) => Ok(version),
            None => Err(ConfigStoreError::Stale { current }),
        }
    }

    /// The write may have taken effect, and may still do so: only the patch's
    /// id in the log tells that it did. Not finding it proves nothing until
    /// another version stands where it would.
    async fn resolve_lost_response(
        &self,
        patch: &Patch,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        for _ in 0..MAX_LOOKUPS {
            let pause_ms = rand::rng().random_range(1..=MAX_LOOKUP_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let Ok(current) = self.newest_version().await else {
                continue;
            };
            match self.find_version(patch, current).await {
                Ok(Some(version)) => return Ok(version),
                Ok(None) if current > patch.base => {
                    return Err(ConfigStoreError::Stale { current });
                }
                _ => {}
            }
        }
        Err(ConfigStoreError::OutcomeUnknown {
            patch: patch.id.clone(),
        })
    }

    /// Looks for a patch among the versions after its base; it can only be the
    /// first of them.
    async fn find_version(
        &self,
        patch: &Patch,
        newest: ConfigVersion,
    ) -> Result<Option<ConfigVersion>, ConfigStoreError> {
        let version = patch.base.next();
        if newest < version {
            return Ok(None);
        }
        let logged = self.read_log(version, version).await?;
        let is_same_patch = logged
            .first()
            .and_then(|logged| logged.patch.as_ref())
            .is_some_and(|logged| logged.id == patch.id);
        Ok(is_same_patch.then_some(version))
    }

    async fn read_head(&self) -> Result<(ConfigHead, u64), ConfigStoreError> {
        let rows = self.client.read(vec![HEAD_KEY.to_string()]).await?;
        let row = rows
            .into_iter()
            .next()
            .flatten()
            .ok_or(ConfigStoreError::Missing)?;
        let head = from_row(&row)?;
        Ok((head, row.row_version))
    }
}

/// The head moves and the version's row appears in one transaction.
fn version_batch(
    version: ConfigVersion,
    head_row_version: u64,
    patch: &Patch,
    document: Document,
) -> TableBatch {
    let has_snapshot = version.get().is_multiple_of(SNAPSHOT_INTERVAL);
    let logged = LoggedPatch {
        patch: Some(patch.clone()),
        snapshot: has_snapshot.then_some(document),
    };
    TableBatch {
        atomic: true,
        operations: vec![
            TableOperation::Replace {
                expected_row_version: head_row_version,
                key: HEAD_KEY.to_string(),
                value: to_value(&ConfigHead { version }),
            },
            TableOperation::Insert {
                key: version_key(version),
                value: to_value(&logged),
            },
        ],
    }
}

/// The newest version at or before `version` whose row holds the whole
/// document.
fn last_snapshot(version: ConfigVersion) -> ConfigVersion {
    let number = version.get() / SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL;
    ConfigVersion::new(number.max(1))
}

fn apply_logged(
    document: Option<Document>,
    logged: LoggedPatch,
) -> Result<Document, ConfigStoreError> {
    match (logged.snapshot, logged.patch, document) {
        (Some(snapshot), _, _) => Ok(snapshot),
        (None, Some(patch), Some(document)) => Ok(document.patched(&patch.operations)?),
        _ => Err(ConfigStoreError::Missing),
    }
}

fn version_key(version: ConfigVersion) -> String {
    format!("config/versions/{version}")
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("rows have only text keys")
}

fn from_row<T: DeserializeOwned>(row: &Row) -> Result<T, ConfigStoreError> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        PlatformError::Malformed {
            message: format!("row {}: {error}", row.key),
        }
        .into()
    })
}
