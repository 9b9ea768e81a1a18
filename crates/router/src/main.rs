//! `rhubarbcove`: the program that runs on every entry host.

use {
    bpaf::Bpaf,
    config::Settings,
    eyre::WrapErr,
    peer::PeerHost,
    platform::{StoreDirectory, WireProtocol},
    router::{Host, Installation, json_logger},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    slog::Logger,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Route language-model traffic with service levels and priorities.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Check a settings file and say what is wrong with it
    #[bpaf(command)]
    Check {
        /// Settings of this host, as TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Run this host until it gets SIGTERM or SIGINT, then drain and stop
    #[bpaf(command)]
    Run {
        /// Settings of this host, as TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Check { file } => {
            let settings = read_settings(&file)?;
            println!("settings of host {} are valid", settings.host);
            Ok(())
        }
        Command::Run { file } => run(&file),
    }
}

fn read_settings(file: &Path) -> eyre::Result<Settings> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    Settings::from_toml(&text).wrap_err_with(|| format!("{} is not valid", file.display()))
}

/// Time for the last lines of the log to be written. Where nobody reads them the
/// process must end all the same.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Writes the last lines of the log, as far as that can be done in time.
fn flush(logger: Logger) {
    let (done, flushed) = std::sync::mpsc::channel::<()>();
    std::thread::spawn(move || {
        // Dropping the last logger waits for its thread.
        drop(logger);
        drop(done);
    });
    let _ = flushed.recv_timeout(FLUSH_LIMIT);
}

/// What the other hosts are told of this one.
fn peer(settings: &Settings) -> PeerHost {
    PeerHost {
        address: settings.peer_address,
        failure_domain: settings.failure_domain.clone(),
        host: settings.host.clone(),
        leaving: false,
    }
}

/// Registers the signals before the host starts, so that none is lost. A
/// second signal changes nothing: the stop that is under way ends in order.
fn run(file: &Path) -> eyre::Result<()> {
    let settings = read_settings(file)?;
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot watch for signals")?;
    let logger = json_logger(&settings.host);
    let installation = settings.relay.is_some().then(|| Installation {
        directory: Box::new(StoreDirectory::new(
            settings.platform_address,
            peer(&settings),
        )),
        protocol: Arc::new(WireProtocol),
    });
    let host = Host::start_in(settings, installation, logger.clone())?;
    signals.forever().next();
    host.drain().stop()?;
    flush(logger);
    Ok(())
}
