use super::*;

/// Maximum number of queued log messages. When the queue is full, new messages are dropped and
/// counted, so that logging never delays a request.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// A logger that writes one JSON object per line to standard output.
///
/// A separate thread writes the lines. While standard output is not read, the thread blocks, the
/// queue fills, and further lines are dropped and counted. If standard output is closed, write
/// errors are ignored. Neither case delays a request or ends the host.
pub fn json_logger(host: &HostId) -> Logger {
    json_logger_to(host, std::io::stdout())
}

/// Like [`json_logger`], but writes to `output`.
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
