//! Announces limits between hosts.

use super::*;

/// Base interval at which the issuer announces an unchanged limit again, for hosts that start
/// later.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Added to `REANNOUNCE_INTERVAL` for each host, so that the issuer's traffic stays bounded.
const REANNOUNCE_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);

/// Added to the age of a limit that another host announces, so that a limit which this host learned
/// itself takes precedence if both are about equally old.
const REMOTE_AGE_MARGIN: Duration = Duration::from_millis(50);

impl Controller {
    pub(crate) fn announce_limits(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hosts = self.neighbors.len() as u32;
        let interval = REANNOUNCE_INTERVAL + REANNOUNCE_INTERVAL_PER_HOST * hosts;
        let limits = &mut self.upstream_limits;
        let mut advertised = Vec::new();
        for upstream in limits.unannounced.union(&limits.limited) {
            let Some(state) = self.pool.get_mut(upstream) else {
                continue;
            };
            let limit = &mut state.limit;
            let reannounce = limit.issuer.is_issuer() && limit.rate().is_some();
            if limit
                .announcements
                .take_due(now, reannounce.then_some(interval))
            {
                advertised.push(limit.to_note(upstream, now));
            }
        }
        let pool = &self.pool;
        let is_announced =
            |id: &UpstreamId| pool.get(id).is_none_or(|s| s.limit.announcements.is_done());
        limits.unannounced.retain(|id| !is_announced(id));
        if advertised.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
        self.push_upstream_notes(&[], &advertised, &to, actions);
    }

    pub(crate) fn record_announced_limit(
        &mut self,
        now: Time,
        host: &HostId,
        limit: &LimitNote,
        actions: &mut Vec<Action>,
    ) {
        let age = Duration::from_millis(u64::from(limit.age_ms)) + REMOTE_AGE_MARGIN;
        let source = NoticeSource::Host(host.clone());
        let sent = now - age;
        self.record_limit(now, &limit.upstream, limit.limit, sent, source, actions);
    }
}
