use super::*;

/// Messages that may wait to be written before new ones are dropped and
/// counted: logging never holds a request up.
const LOG_RING: usize = 4_096;

/// A logger that writes one JSON object a line to standard error.
pub fn json_logger(host: &HostId) -> Logger {
    let drain = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_RING)
        .build()
        .fuse();
    Logger::root(drain, o!("host" => host.to_string()))
}

/// A logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
