use super::*;

/// Messages that may wait to be written before new ones are dropped and
/// counted: logging never holds a request up.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// A logger that writes one JSON object a line to standard output.
///
/// Writing is done by a thread of its own. While nobody reads standard output
/// that thread stands still, the ring fills, and lines are dropped and counted;
/// once nobody can read it any more, writing fails and is given up. Neither
/// holds a request up or ends the host.
pub fn json_logger(host: &HostId) -> Logger {
    json_logger_to(host, std::io::stdout())
}

/// The same to another place.
pub fn json_logger_to(host: &HostId, output: impl std::io::Write + Send + 'static) -> Logger {
    let drain = slog_json::Json::new(output)
        .add_default_keys()
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build()
        .fuse();
    Logger::root(drain, o!("host" => host.to_string()))
}

/// A logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
