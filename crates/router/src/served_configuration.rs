use super::*;

/// The configuration that other hosts are handed.
#[derive(Clone, Debug)]
pub(crate) struct ServedConfiguration {
    /// When it was the newest one, if that is known.
    pub(crate) as_of: Option<Time>,
    pub(crate) document: Arc<SourceDocument>,
}
