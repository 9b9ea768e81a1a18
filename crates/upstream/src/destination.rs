use super::*;

/// An upstream and the paths over which it can be reached.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Address at which the upstream listens.
    pub address: SocketAddr,
    /// Paths to the upstream, in the order in which they are tried.
    pub paths: Vec<Path>,
    /// Id by which other hosts know the upstream; `None` if no path leads through other hosts.
    pub upstream: Option<UpstreamId>,
}

impl From<SocketAddr> for Destination {
    /// Creates a destination that is only reached over direct connections.
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            paths: vec![Path::Direct],
            upstream: None,
        }
    }
}

impl Destination {
    /// The paths over which an idle connection may be reused: all paths of the same kind as the
    /// first path, which is direct or leads through another host.
    pub(crate) fn preferred_paths(&self) -> impl Iterator<Item = Path> {
        let first = self.paths.first().copied();
        let is_direct = |path: &Path| *path == Path::Direct;
        let same_kind =
            move |path: &&Path| first.is_some_and(|first| is_direct(&first) == is_direct(path));
        self.paths.iter().filter(same_kind).copied()
    }
}
