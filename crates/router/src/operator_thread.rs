//! The thread that serves operators, on an address of their own.

use super::*;

/// Time that an operator's client may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// What the thread is given.
pub(crate) struct OperatorThread {
    pub(crate) listener: std::net::TcpListener,
    pub(crate) service: OperatorService,
    pub(crate) shutdown: Shutdown,
}

impl OperatorThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("operators".to_string())
            .spawn(move || single_thread_runtime()?.block_on(self.run()))
            .wrap_err("cannot start the operators' thread")
    }

    async fn run(self) -> eyre::Result<()> {
        let listener = TcpListener::from_std(self.listener)?;
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
                () = self.shutdown.started() => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let service = self.service.clone();
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(
                    TokioIo::new(stream),
                    service_fn(move |request| {
                        let service = service.clone();
                        async move { Ok::<_, Infallible>(service.answer(request).await) }
                    }),
                );
            connections.spawn(async move {
                let _ = connection.await;
            });
        }
        connections.shutdown().await;
        Ok(())
    }
}
