//! What follows from the settings of an installation.

use super::*;

/// What a host stays below the bound for a removed key. Its knowledge counts
/// from before the store answered, and a request was sent before it is checked,
/// so only the steps of the clocks are left.
const KEY_KNOWLEDGE_MARGIN: Duration = Duration::from_millis(100);

/// Part of the time for a change in which a host may go on with the version before, counted
/// from when it learned of the change: it may have received late, and a request that it takes is
/// sent some time later.
const APPLY_LIMIT_SHARE: f64 = 0.75;

/// Time that the end of a stop takes after the last request: settling, joining
/// threads, leaving the process.
pub(crate) const STOP_RESERVE: Duration = Duration::from_millis(600);

/// The figures that the controller keeps to.
pub(crate) fn relay_rules(relay: &RelaySettings) -> RelayRules {
    let limit = Duration::from_millis(relay.key_knowledge_limit_ms);
    RelayRules {
        apply_limit: Duration::from_millis(relay.apply_limit_ms).mul_f64(APPLY_LIMIT_SHARE),
        first_start: relay.first_start,
        key_knowledge: limit.saturating_sub(KEY_KNOWLEDGE_MARGIN),
        retry_extra: relay.retry_extra,
        retry_ratio: relay.retry_ratio,
        retry_window: Duration::from_secs_f64(relay.retry_window_s),
        usage_window: relay
            .duties
            .as_ref()
            .map(|duties| Duration::from_secs_f64(duties.usage_window_s)),
    }
}

/// Time for requests to end once no new connections are taken.
pub(crate) fn drain_limit(settings: &Settings) -> Option<Duration> {
    let relay = settings.relay.as_ref()?;
    let pause = Duration::from_millis(settings.balancer_pause_ms);
    let limit = Duration::from_secs_f64(relay.drain_limit_s);
    Some(limit.saturating_sub(pause + STOP_RESERVE))
}
