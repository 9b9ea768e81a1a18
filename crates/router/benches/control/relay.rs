use super::*;

/// Shared byte counter.
pub type Counter = Arc<AtomicU64>;

/// Starts a proxy that forwards connections to a server and counts the bytes in both directions.
pub async fn relay(to: SocketAddr, counter: Counter) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((inward, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let Ok(outward) = TcpStream::connect(to).await else {
                    return;
                };
                let (in_read, in_write) = inward.into_split();
                let (out_read, out_write) = outward.into_split();
                tokio::join!(
                    copy(in_read, out_write, &counter),
                    copy(out_read, in_write, &counter),
                );
            });
        }
    });
    address
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counter: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        counter.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
