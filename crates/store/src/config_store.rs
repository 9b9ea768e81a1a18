use super::*;

/// Number of versions after which a snapshot of the whole document is stored.
const SNAPSHOT_INTERVAL: u64 = 50;

/// Key of the row that holds the number of the newest version.
const HEAD_KEY: &str = "config/head";

/// Number of attempts to look up the outcome of a write before it is reported as unknown.
const MAX_LOOKUPS: u32 = 4;

/// Longest pause before a lookup.
const MAX_LOOKUP_PAUSE_MS: u64 = 200;

/// Maximum number of versions that are read in one call.
const MAX_VERSIONS_PER_READ: u64 = 100;

/// The shared configuration in the platform's table. Each version has a row. A head row holds the
/// newest version; it is updated by compare-and-set in the same transaction that inserts the row of
/// that version.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    client: Arc<PlatformClient>,
}

impl ConfigStore {
    /// Creates a store that uses the platform's table through `client`.
    pub const fn new(client: Arc<PlatformClient>) -> Self {
        Self { client }
    }

    /// Writes the first version if there is no configuration yet.
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

    /// Returns the number of the newest version.
    pub async fn newest_version(&self) -> Result<ConfigVersion, ConfigStoreError> {
        self.read_head().await.map(|(head, _)| head.version)
    }

    /// Reads the newest version.
    pub async fn read(&self) -> Result<VersionedDocument, ConfigStoreError> {
        let newest = self.newest_version().await?;
        self.read_version(newest, None).await
    }

    /// Reads the newest version if it is newer than `known`. If possible, only the patches since
    /// `known` are read.
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

    /// Reads one version. If `known` is older than this version but not older than its last
    /// snapshot, only the patches since `known` are read.
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

    /// Reads the rows of the versions from `first` to `last`.
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

    /// Applies a patch as the next version. If the log already contains a patch with this id, the
    /// version of that patch is returned: a client that lost the response can safely submit the
    /// patch again.
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

    /// Handles a failed compare-and-set: either another patch was accepted first, or an earlier
    /// submission of this patch was.
    async fn resolve_conflict(&self, patch: &Patch) -> Result<ConfigVersion, ConfigStoreError> {
        let current = self.newest_version().await?;
        match self.find_version(patch, current).await? {
            Some(version) => Ok(version),
            None => Err(ConfigStoreError::Stale { current }),
        }
    }

    /// Looks up the outcome of a write whose response was lost. The write may have taken effect or
    /// may still do so; finding the patch's id in the log proves that it did. A missing id proves
    /// nothing until another patch has taken the version that this patch would get.
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

    /// Finds the version that an accepted patch produced, which is always the version after the
    /// patch's base.
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

/// Builds the transaction that updates the head and inserts the row of the version.
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

/// Returns the newest version at or before `version` whose row has a snapshot.
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
