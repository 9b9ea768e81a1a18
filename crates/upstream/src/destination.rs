use super::*;

/// An upstream, and how it may be reached.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Where it listens.
    pub address: SocketAddr,
    /// Paths to it, in the order in which they are tried.
    pub paths: Vec<Path>,
    /// Under which other hosts know it; `None` where no path leads through them.
    pub upstream: Option<UpstreamId>,
}

impl From<SocketAddr> for Destination {
    /// An upstream that is reached over connections of the host's own only.
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            paths: vec![Path::Direct],
            upstream: None,
        }
    }
}

impl Destination {
    /// The kind of path that is preferred, as far as kept connections are concerned.
    pub(crate) fn preferred_paths(&self) -> impl Iterator<Item = Path> {
        let first = self.paths.first().copied();
        let is_direct = |path: &Path| *path == Path::Direct;
        let same_kind =
            move |path: &&Path| first.is_some_and(|first| is_direct(&first) == is_direct(path));
        self.paths.iter().filter(same_kind).copied()
    }
}
