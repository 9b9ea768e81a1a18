use super::*;

/// Buffer size of each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// A connection of another host that is forwarded to an upstream.
pub(crate) struct ForwardedConnection {
    pub(crate) activity: LastActivity,
    pub(crate) host: TcpStream,
    pub(crate) upstream: TcpStream,
}

impl ForwardedConnection {
    /// Forwards bytes until either side closes its connection. A host closes its side only when
    /// it needs nothing more from the upstream.
    ///
    /// The connection to the host is closed in order only after the upstream closed its own in
    /// order. In all other cases, including the end of this process, it is reset: a response
    /// without a length ends when its connection closes, so that a truncated one would look
    /// complete.
    pub(crate) async fn run(mut self, buffered: &[u8]) -> std::io::Result<()> {
        self.host.set_nodelay(true)?;
        SockRef::from(&self.host).set_linger(Some(Duration::ZERO))?;
        let (mut from_host, mut to_host) = self.host.split();
        let (mut from_upstream, mut to_upstream) = self.upstream.split();
        let requests = async {
            to_upstream.write_all(buffered).await?;
            forward(&mut from_host, &mut to_upstream, &self.activity).await
        };
        tokio::select! {
            ended = requests => return ended,
            ended = forward(&mut from_upstream, &mut to_host, &self.activity) => ended?,
        }
        SockRef::from(&self.host).set_linger(None)?;
        self.host.shutdown().await
    }
}

async fn forward(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    activity: &LastActivity,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        activity.note();
        to.write_all(&buffer[..count]).await?;
    }
}
