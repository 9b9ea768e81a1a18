use super::*;

/// A TCP listener and the tasks that serve its connections. Dropping the server aborts
/// all tasks and closes every connection at once, as in a crash.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Server {
    /// Listens on an address and passes every request to `handler`.
    pub(crate) async fn start<F>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult>
            + Clone
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, handler));
        Ok(Self { address, tasks })
    }

    /// The address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs a task until the server is dropped.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Aborts all tasks and waits until they have ended.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn accept<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Clone + Send + Sync + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                connections.spawn(async move {
                    let _ = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .serve_connection(TokioIo::new(stream), service_fn(handler))
                        .await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
