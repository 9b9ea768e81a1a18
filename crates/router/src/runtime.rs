use super::*;

/// A runtime for one duty's thread.
pub(crate) fn single_thread_runtime() -> eyre::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start a runtime")
}
