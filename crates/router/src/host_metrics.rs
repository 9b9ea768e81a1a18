use super::*;

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 9] = [0.01, 0.03, 0.1, 0.3, 0.66, 1.0, 3.0, 10.0, 30.0];

/// The metrics of one host. Several hosts may run in one process, so each thread uses the recorder
/// of its own host, and no thread uses a global recorder.
#[derive(Clone)]
pub(crate) struct HostMetrics {
    recorder: Arc<PrometheusRecorder>,
}

impl HostMetrics {
    pub(crate) fn new() -> eyre::Result<Self> {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_string()), &DURATION_BUCKETS_S)
            .wrap_err("cannot set up the metrics recorder")?
            .build_recorder();
        Ok(Self {
            recorder: Arc::new(recorder),
        })
    }

    /// Handle that renders the metrics.
    pub(crate) fn handle(&self) -> PrometheusHandle {
        self.recorder.handle()
    }

    /// Runs a function whose metrics go to this host's recorder.
    pub(crate) fn with_recorder<T>(&self, run: impl FnOnce() -> T) -> T {
        metrics::with_local_recorder(&*self.recorder, run)
    }
}
