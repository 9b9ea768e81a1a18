//! `rhubarbcove`: the program that runs on every entry host.

mod settings_file;

use {
    bpaf::Bpaf,
    config::Settings,
    eyre::WrapErr,
    peer::PeerHost,
    platform::{StoreDirectory, WireProtocol},
    router::{Host, Installation, Serving, json_logger},
    settings_file::SettingsFile,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    slog::{Logger, warn},
    std::{
        path::{Path, PathBuf},
        sync::{
            Arc,
            mpsc::{Receiver, RecvTimeoutError},
        },
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
            let (_, settings) = SettingsFile::open(&file)?;
            println!("settings of host {} are valid", settings.host);
            Ok(())
        }
        Command::Run { file } => run(&file),
    }
}

/// Maximum time to write the remaining log lines at exit. The process must end even if nobody reads
/// its output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits until the remaining log lines are written, at most for [`FLUSH_TIMEOUT`].
fn flush_log(logger: Logger) {
    let (done, flushed) = std::sync::mpsc::channel::<()>();
    std::thread::spawn(move || {
        // Dropping the last clone of the logger waits for the logging thread to finish.
        drop(logger);
        drop(done);
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}

/// The entry by which other hosts know this host.
fn peer_host(settings: &Settings) -> PeerHost {
    PeerHost {
        address: settings.peer_address,
        failure_domain: settings.failure_domain.clone(),
        host: settings.host.clone(),
        leaving: false,
    }
}

/// Interval at which the settings file is checked for changes, which may come without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the host until it receives SIGTERM or SIGINT. Signal handlers are registered before the
/// host starts, so that no signal is lost. A second signal to stop has no effect: the graceful stop
/// that is in progress completes.
fn run(file: &Path) -> eyre::Result<()> {
    let (mut file, settings) = SettingsFile::open(file)?;
    let signals = receive_signals()?;
    let logger = json_logger(&settings.host);
    let installation = settings.relay.as_ref().map(|relay| Installation {
        directory: Box::new(StoreDirectory {
            address: settings.platform_address,
            duties: relay.duties.clone(),
            first_start: relay.first_start,
            own: peer_host(&settings),
            token: settings.peer_token.clone(),
        }),
        protocol: Arc::new(WireProtocol),
    });
    let mut host = Host::start_in(settings, installation, logger.clone())?;
    while let Ok(SIGHUP) | Err(RecvTimeoutError::Timeout) =
        signals.recv_timeout(SETTINGS_POLL_INTERVAL)
    {
        reload(&mut host, &mut file, &logger);
    }
    host.drain().stop()?;
    flush_log(logger);
    Ok(())
}

/// Starts a thread that passes signals to the main thread through a channel. The thread runs as
/// long as the process.
fn receive_signals() -> eyre::Result<Receiver<i32>> {
    let handled_signals = [SIGHUP, SIGINT, SIGTERM];
    let mut signals =
        Signals::new(handled_signals).wrap_err("cannot register the signal handlers")?;
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            for signal in signals.forever() {
                if sender.send(signal).is_err() {
                    return;
                }
            }
        })
        .wrap_err("cannot start the signal thread")?;
    Ok(receiver)
}

/// Applies the settings file if it has changed. An invalid file is logged and changes nothing.
fn reload(host: &mut Host<Serving>, file: &mut SettingsFile, logger: &Logger) {
    match file.reload_if_changed() {
        Ok(Some(settings)) => host.reload(settings),
        Ok(None) => {}
        Err(error) => {
            warn!(logger, "host: settings not reloaded"; "error" => format!("{error:#}"));
        }
    }
}
