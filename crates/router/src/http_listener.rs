use super::*;

/// A small HTTP server for operators and other hosts, whose requests are short. It accepts
/// connections until the host stops, and then drops the open ones.
pub(crate) struct HttpListener {
    /// Time within which a client must send the head of a request.
    pub(crate) head_timeout: Duration,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) shutdown: Shutdown,
}

impl HttpListener {
    /// Starts the server in a thread of its own.
    pub(crate) fn spawn<H, F>(
        self,
        name: &str,
        handler: H,
    ) -> eyre::Result<JoinHandle<eyre::Result<()>>>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || single_thread_runtime()?.block_on(self.run(handler)))
            .wrap_err("cannot start an HTTP thread")
    }

    async fn run<H, F>(self, handler: H) -> eyre::Result<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let listener = TcpListener::from_std(self.listener)?;
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
                () = self.shutdown.started() => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let handler = handler.clone();
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(self.head_timeout)
                .serve_connection(
                    TokioIo::new(stream),
                    service_fn(move |request| {
                        let response = handler(request);
                        async move { Ok::<_, Infallible>(response.await) }
                    }),
                );
            connections.spawn(async move {
                let _ = connection.with_upgrades().await;
            });
        }
        connections.shutdown().await;
        Ok(())
    }
}
