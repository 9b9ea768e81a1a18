use super::*;

/// The configuration document that this host serves to other hosts.
#[derive(Clone, Debug)]
pub(crate) struct ServedConfiguration {
    /// Latest time at which the document was known to be the newest; `None` if unknown.
    pub(crate) as_of: Option<Time>,
    pub(crate) document: Arc<SourceDocument>,
}
