//! Rules and time limits that follow from the settings of an installation.

use super::*;

/// How far a host stays below the limit for accepting a removed key. The age of its key list counts
/// from before the store responded, and a caller sends a request before the host checks the key, so
/// the margin has to cover only clock steps.
const KEY_KNOWLEDGE_MARGIN: Duration = Duration::from_millis(100);

/// Share of the time limit for applying a change during which a host may use the previous version,
/// counted from when it learned of the change. The rest allows for a notification that arrives
/// late, and for the time between accepting a request and sending it.
const APPLY_LIMIT_SHARE: f64 = 0.75;

/// Time reserved at the end of a shutdown, after the last request, to settle, join the threads and
/// exit.
pub(crate) const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Part of [`STOP_RESERVE`] in which the requests that are cut off at the end of the drain get
/// their answers.
pub(crate) const LAST_ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Returns the rules that the controller follows.
pub(crate) fn relay_rules(relay: &RelaySettings) -> RelayRules {
    let limit = Duration::from_millis(relay.key_knowledge_limit_ms);
    RelayRules {
        apply_limit: Duration::from_millis(relay.apply_limit_ms).mul_f64(APPLY_LIMIT_SHARE),
        first_start: relay.first_start,
        key_knowledge_limit: limit.saturating_sub(KEY_KNOWLEDGE_MARGIN),
        retry_extra: relay.retry_extra,
        retry_ratio: relay.retry_ratio,
        retry_window: Duration::from_secs_f64(relay.retry_window_s),
        usage_window: relay
            .duties
            .as_ref()
            .map(|duties| Duration::from_secs_f64(duties.usage_window_s)),
    }
}

/// Returns the time that requests have to end after the stop has begun.
pub(crate) fn drain_time(settings: &Settings) -> Option<Duration> {
    let pause = Duration::from_millis(settings.balancer_pause_ms);
    Some(pause + drain_limit(settings)?)
}

/// Returns the time that requests have to end after the listener is closed.
pub(crate) fn drain_limit(settings: &Settings) -> Option<Duration> {
    let relay = settings.relay.as_ref()?;
    let pause = Duration::from_millis(settings.balancer_pause_ms);
    let limit = Duration::from_secs_f64(relay.drain_limit_s);
    Some(limit.saturating_sub(pause + STOP_RESERVE))
}
