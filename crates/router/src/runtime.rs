use super::*;

/// Creates a single-threaded Tokio runtime for one thread of the host.
pub(crate) fn single_thread_runtime() -> eyre::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the Tokio runtime")
}
