use super::*;

/// Subcommands of `standin`. Each stand-in runs until the process is killed.
#[derive(Bpaf, Clone, Debug)]
pub enum StandinCommand {
    /// Run a model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Name of the upstream in the run log
        #[bpaf(argument("NAME"), fallback("engine".to_string()))]
        name: String,
        /// Capacity and speed of the engine, as TOML
        #[bpaf(argument("FILE"))]
        options: Option<PathBuf>,
    },
    /// Run the platform: table, object store and host list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Run a plain service
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Name of the upstream in the run log
        #[bpaf(argument("NAME"), fallback("service".to_string()))]
        name: String,
    },
}

impl StandinCommand {
    pub(crate) async fn run(self) -> eyre::Result<()> {
        match self {
            Self::Engine {
                listen,
                name,
                options,
            } => {
                let options = match options {
                    Some(file) => toml::from_str(
                        &std::fs::read_to_string(&file)
                            .wrap_err_with(|| format!("cannot read {}", file.display()))?,
                    )
                    .wrap_err_with(|| format!("{} is not valid", file.display()))?,
                    None => EngineOptions::default(),
                };
                let standin =
                    EngineStandin::start(listen, &name, options, RunLog::default()).await?;
                serve_forever("engine", standin.address()).await
            }
            Self::Platform { listen } => {
                let standin = PlatformStandin::start(listen).await?;
                serve_forever("platform", standin.address()).await
            }
            Self::Service { listen, name } => {
                let standin = ServiceStandin::start(listen, &name, RunLog::default()).await?;
                serve_forever("service", standin.address()).await
            }
        }
    }
}

async fn serve_forever(kind: &str, address: SocketAddr) -> eyre::Result<()> {
    println!("{kind} stand-in listens on {address}");
    std::future::pending().await
}
