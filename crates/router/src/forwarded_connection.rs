use super::*;

/// Bytes that are held of each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// A connection of another host that is passed on to an upstream.
pub(crate) struct ForwardedConnection {
    pub(crate) activity: Activity,
    pub(crate) host: TcpStream,
    pub(crate) upstream: TcpStream,
}

impl ForwardedConnection {
    /// Passes bytes until either side ends. A host closes only when it wants nothing more.
    ///
    /// The host's side ends in order only after the upstream's did, and is reset in all other
    /// cases, the end of this process among them: an answer without a length ends with its
    /// connection, and would look whole.
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
    activity: &Activity,
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
