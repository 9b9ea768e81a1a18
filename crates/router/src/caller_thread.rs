//! Thread that serves callers: it accepts connections, passes requests to the controller and
//! streams answers back.

use super::*;

/// Delay after a failed accept, for example if the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Input of a caller thread.
pub(crate) struct CallerThread {
    pub(crate) connections: Arc<AtomicUsize>,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    pub(crate) service: CallerInterface,
    pub(crate) shutdown: Shutdown,
    pub(crate) unread: UnreadAnswers,
}

impl CallerThread {
    pub(crate) fn spawn(self, number: usize) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name(format!("callers-{number}"))
            .spawn(move || {
                let runtime = single_thread_runtime()?;
                let metrics = self.metrics.clone();
                metrics.with_recorder(|| runtime.block_on(self.run()))
            })
            .wrap_err("cannot start a caller thread")
    }

    async fn run(self) -> eyre::Result<()> {
        let listener = TcpListener::from_std(self.listener.try_clone()?)?;
        let graceful = GracefulShutdown::new();
        let mut connections = JoinSet::new();
        let mut delay = LoopDelay::default();
        let mut ticks = interval(LoopDelay::INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                due = ticks.tick() => {
                    delay.note_tick(due.elapsed());
                    continue;
                }
                Some(_) = connections.join_next() => continue,
                () = self.shutdown.started() => break,
            };
            match accepted {
                Ok(_) if delay.is_overloaded() => count_closed_unread("processor"),
                Ok((stream, _)) => self.serve_connection(stream, &graceful, &mut connections),
                Err(error) => {
                    warn!(self.logger, "callers: accept failed"; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        self.drain(graceful, connections).await;
        Ok(())
    }

    fn serve_connection(
        &self,
        stream: tokio::net::TcpStream,
        graceful: &GracefulShutdown,
        connections: &mut JoinSet<()>,
    ) {
        let open = self.connections.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard(Arc::clone(&self.connections));
        let limits = self.service.limits().settings_limits();
        if open >= limits.max_caller_connections() {
            // Closes the connection without a response, because any response would cost resources.
            count_closed_unread("connections");
            return;
        }
        let _ = stream.set_nodelay(true);
        let service = self.service.clone();
        let limits = service.limits();
        let reader = self.unread.add_reader();
        let service_reader = Arc::clone(&reader);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout())
            .max_buf_size(limits.max_head_bytes())
            .serve_connection(
                TokioIo::new(stream),
                service_fn(move |request| {
                    let service = service.clone();
                    let reader = Arc::clone(&service_reader);
                    async move { Ok::<_, Infallible>(service.answer(request, reader).await) }
                }),
            );
        let connection = graceful.watch(connection);
        let logger = self.logger.clone();
        connections.spawn(async move {
            let _guard = guard;
            tokio::select! {
                _ = connection => {}
                () = reader.close_requested() => log_slow_reader(&logger, &reader),
            }
        });
    }

    /// Closes idle connections and waits until all requests in flight have ended, or the shutdown
    /// must be complete.
    async fn drain(&self, graceful: GracefulShutdown, mut connections: JoinSet<()>) {
        info!(self.logger, "callers: no new connections"; "open" => connections.len());
        let all_ended = async {
            graceful.shutdown().await;
            while connections.join_next().await.is_some() {}
            let mut tasks = self.service.take_tasks();
            while tasks.join_next().await.is_some() {}
        };
        let ended = match self.shutdown.end() {
            Some(end) => timeout_at(end.into(), all_ended).await.is_ok(),
            None => {
                all_ended.await;
                true
            }
        };
        info!(self.logger, "callers: stopped"; "all_requests_ended" => ended);
    }
}

fn log_slow_reader(logger: &Logger, reader: &AnswerReader) {
    let (unread_bytes, idle) = reader.unread_and_idle();
    warn!(logger, "callers: slow reader cut off";
        "idle_ms" => idle.as_millis() as u64, "unread_bytes" => unread_bytes);
}

/// Counts a connection while it is open.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection that is closed before anything is read from it.
fn count_closed_unread(reason: &'static str) {
    counter!("rhubarbcove_connections_closed_unread_total", "reason" => reason).increment(1);
}
