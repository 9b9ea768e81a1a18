use super::*;

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Subcommands of `config`.
#[derive(Bpaf, Clone, Debug)]
pub enum ConfigCommand {
    /// Validate a document and print what is wrong with it
    #[bpaf(command)]
    Check {
        /// Document, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Write the first version
    #[bpaf(command)]
    Create {
        /// Address of the platform
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Document, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the newest version
    #[bpaf(command)]
    Get {
        /// Address of the platform
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
    },
    /// Print the changes and their authors, newest last
    #[bpaf(command)]
    History {
        /// Address of the platform
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Number of versions to print
        #[bpaf(argument("NUMBER"), fallback(20), display_fallback)]
        last: u64,
    },
    /// Submit a JSON Patch against a version
    #[bpaf(command)]
    Patch {
        /// Address of the platform
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Author of the change
        #[bpaf(argument("NAME"))]
        author: String,
        /// Version that the patch was made against
        #[bpaf(argument("VERSION"))]
        base: ConfigVersion,
        /// Validate the result without changing anything
        dry_run: bool,
        /// Id of the patch; pass the same id to retry after a lost response
        #[bpaf(argument("ID"))]
        id: Option<String>,
        /// Operations, as JSON Patch (RFC 6902)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Create a new version with the content of an old one
    #[bpaf(command)]
    Rollback {
        /// Address of the platform
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Author of the change
        #[bpaf(argument("NAME"))]
        author: String,
        /// Version whose content to restore
        #[bpaf(positional("VERSION"))]
        version: ConfigVersion,
    },
}

impl ConfigCommand {
    pub(crate) async fn run(self) -> eyre::Result<()> {
        match self {
            Self::Check { file } => {
                read_document(&file)?;
                println!("{} is a valid configuration", file.display());
                Ok(())
            }
            Self::Create { platform, file } => {
                let version = store(platform).create(read_document(&file)?).await?;
                println!("version {version} is in force");
                Ok(())
            }
            Self::Get { platform } => {
                let newest = store(platform).read().await?;
                println!("{}", serde_json::to_string_pretty(&newest)?);
                Ok(())
            }
            Self::History { platform, last } => history(&store(platform), last).await,
            Self::Patch {
                platform,
                author,
                base,
                dry_run,
                id,
                file,
            } => {
                let operations = serde_json::from_str(&read(&file)?)
                    .wrap_err_with(|| format!("{} is not a JSON Patch", file.display()))?;
                let patch = config::Patch {
                    author,
                    base,
                    id: id.unwrap_or_else(new_patch_id),
                    operations,
                };
                submit(&store(platform), &patch, dry_run).await
            }
            Self::Rollback {
                platform,
                author,
                version,
            } => rollback(&store(platform), author, version).await,
        }
    }
}

fn store(platform: SocketAddr) -> ConfigStore {
    ConfigStore::new(Arc::new(PlatformClient::new(platform, CALL_TIMEOUT)))
}

fn new_patch_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

fn read_document(file: &Path) -> eyre::Result<Document> {
    Document::from_json(&read(file)?).wrap_err_with(|| format!("{} is not valid", file.display()))
}

async fn history(store: &ConfigStore, last: u64) -> eyre::Result<()> {
    let newest = store.newest_version().await?;
    let first = newest.get().saturating_sub(last.saturating_sub(1)).max(1);
    let rows = store.read_log(ConfigVersion::new(first), newest).await?;
    for (number, row) in (first..).zip(rows) {
        match row.patch {
            Some(patch) => println!(
                "{number} by {} as {}: {}",
                patch.author,
                patch.id,
                serde_json::to_string(&patch.operations)?
            ),
            None => println!("{number} first version"),
        }
    }
    Ok(())
}

/// Submits a patch, or only validates the patch with `dry_run`. The id is printed
/// before the submission, so that the operator can retry with the same id if this
/// process ends before the response arrives.
async fn submit(store: &ConfigStore, patch: &config::Patch, dry_run: bool) -> eyre::Result<()> {
    if dry_run {
        let current = store.read().await?;
        if current.version != patch.base {
            return Err(ConfigStoreError::Stale {
                current: current.version,
            }
            .into());
        }
        current.document.patched(&patch.operations)?;
        println!("patch fits version {}, nothing was changed", patch.base);
        return Ok(());
    }
    println!("submitting patch {}", patch.id);
    let version = store.submit(patch).await?;
    println!("accepted as version {version}");
    Ok(())
}

async fn rollback(store: &ConfigStore, author: String, to: ConfigVersion) -> eyre::Result<()> {
    let current = store.read().await?;
    if to > current.version {
        bail!(
            "there is no version {to}, the newest is {}",
            current.version
        );
    }
    let wanted = store.read_version(to, None).await?;
    let from = serde_json::to_value(&current.document)?;
    let operations = json_patch::diff(&from, &serde_json::to_value(&wanted.document)?);
    let patch = config::Patch {
        author,
        base: current.version,
        id: new_patch_id(),
        operations,
    };
    submit(store, &patch, false).await
}
