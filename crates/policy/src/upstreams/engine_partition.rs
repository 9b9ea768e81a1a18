use super::*;

/// Half-life of the recorded work. It is long enough for some hundred requests of a host that
/// receives four per second, so that all hosts compute about the same share, and short enough to
/// follow a burst.
const WORK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Share of the engines that is reserved from the first pause-sensitive stream until the mix of
/// requests is known.
const INITIAL_SHARE: f64 = 1.0 / 3.0;

/// Number of requests that must have been recorded before the share follows the recorded work.
const MIN_REQUESTS: u32 = 16;

/// Number of requests after which all engines are reserved before the mix is known, if all requests
/// so far are pause-sensitive streams. Where a few engines serve streams only, each engine is
/// needed at once.
const MIN_INITIAL_STREAMS: u32 = 4;

/// Minimum share of the engines for each side that has any demand. A burst of requests then finds
/// room on the engines of its own side, and if a few engines are lost, few of that side's requests
/// are lost with them. The minimum also keeps the shares of all hosts alike if one side has little
/// demand.
const MIN_SHARE: f64 = 3.0 * SHARE_STEP;

/// Share of the work below which a side gets no engines.
const NEGLIGIBLE_SHARE: f64 = SHARE_STEP / 4.0;

/// Granularity of the published share. Prompts keep their preferred engines while the mix of
/// requests hardly changes.
const SHARE_STEP: f64 = 1.0 / 12.0;

/// Distance of the wanted share from the published share, in steps, from which a new share is
/// published. With half a step, the published share would switch back and forth all the time.
const PUBLISH_THRESHOLD_STEPS: f64 = 0.75;

/// Divides the engines between pause-sensitive streams, which long prompts on the same engine can
/// make late, and all other requests. The shares follow the work of both sides.
///
/// All hosts receive about the same mix of requests, so they compute about the same share without
/// any communication. All hosts also use the same order of engines, so hosts whose shares differ
/// disagree on a few engines only.
#[derive(Debug)]
pub(crate) struct EnginePartition {
    other_work: f64,
    /// Number of recorded requests, up to [`MIN_REQUESTS`].
    request_count: u32,
    updated: Time,
    stream_work: f64,
    published_share: f64,
}

impl Default for EnginePartition {
    fn default() -> Self {
        Self {
            other_work: 0.0,
            request_count: 0,
            updated: Time::default(),
            stream_work: 0.0,
            published_share: 0.0,
        }
    }
}

impl EnginePartition {
    /// Records a request. `work` is the number of tokens that the engine is asked to generate, plus
    /// the prompt tokens that it has to prefill, weighted as output tokens.
    pub(crate) fn record_request(&mut self, now: Time, is_pause_sensitive: bool, work: f64) {
        let half_lives = now.since(self.updated).as_secs_f64() / WORK_HALF_LIFE.as_secs_f64();
        self.updated = now;
        let decay = 0.5_f64.powf(half_lives);
        self.other_work *= decay;
        self.stream_work *= decay;
        if is_pause_sensitive {
            self.stream_work += work;
        } else {
            self.other_work += work;
        }
        self.request_count = (self.request_count + 1).min(MIN_REQUESTS);
        if self.request_count == MIN_REQUESTS {
            self.publish();
            return;
        }
        let has_only_streams = self.other_work == 0.0 && self.request_count >= MIN_INITIAL_STREAMS;
        self.published_share = match self.stream_work > 0.0 {
            true if has_only_streams => 1.0,
            true => INITIAL_SHARE,
            false => 0.0,
        };
    }

    /// Share of the engines that is reserved for pause-sensitive streams.
    pub(crate) const fn stream_share(&self) -> f64 {
        self.published_share
    }

    /// Publishes the wanted share if it differs enough from the published share.
    fn publish(&mut self) {
        let wanted_share = match self.stream_work / (self.stream_work + self.other_work) {
            share if share < NEGLIGIBLE_SHARE => 0.0,
            share if share > 1.0 - NEGLIGIBLE_SHARE => 1.0,
            share => share.clamp(MIN_SHARE, 1.0 - MIN_SHARE),
        };
        if (wanted_share - self.published_share).abs() >= PUBLISH_THRESHOLD_STEPS * SHARE_STEP {
            self.published_share = (wanted_share / SHARE_STEP).round() * SHARE_STEP;
        }
    }
}
