use super::*;

/// Time in which what was asked for counts half: long enough for some hundred requests of a
/// host that gets four a second, so that all hosts come to about the same, and short enough
/// to follow a burst.
const WORK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Part of the engines for streams, once one was seen, before the mix is known.
const INITIAL_SHARE: f64 = 1.0 / 3.0;

/// Requests that must have been seen before they decide.
const MIN_REQUESTS: u32 = 16;

/// Streams in a row after which all engines are for them, before the mix is known: where
/// few engines serve streams alone, each of them is needed at once.
const MIN_INITIAL_STREAMS: u32 = 4;

/// Least part of the engines for either side that is asked for at all: a burst of one finds
/// room in its own part, and few engines lost take few of its requests with them. It also
/// keeps the parts of all hosts alike where one side asks for little.
const MIN_SHARE: f64 = 3.0 * SHARE_STEP;

/// Part of the work below which a side is not asked for.
const NEGLIGIBLE_SHARE: f64 = SHARE_STEP / 4.0;

/// The part is published in steps of this, so that prompts keep their homes while the mix hardly
/// changes.
const SHARE_STEP: f64 = 1.0 / 12.0;

/// Part of a step from which on the next one is published; half of one would be left and taken
/// again all the time.
const PUBLISH_THRESHOLD_STEPS: f64 = 0.75;

/// Divides the engines between streams that long prompts can make late and all other
/// requests, by the work that both ask for.
///
/// All hosts get about the same mix, so all come to about the same part without a word; as
/// they keep the same order of the engines, those that come to different parts differ on a
/// few engines only.
#[derive(Debug)]
pub(crate) struct EnginePartition {
    other_work: f64,
    /// Requests seen, as far as it matters.
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
    /// Notes a request and the tokens that it asks an engine to make, with those that it
    /// has to read counted in them.
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

    /// Part of the engines that is for streams.
    pub(crate) const fn stream_share(&self) -> f64 {
        self.published_share
    }

    /// Moves the published part once the part asked for is most of a step away.
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
