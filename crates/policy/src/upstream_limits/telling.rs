//! What hosts tell each other of limits.

use super::*;

/// Times that a change is told: a datagram may be lost.
const TIMES: u32 = 3;

/// Time between two of them.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time between two reminders of a keeper, for hosts that start later …
const REMIND_INTERVAL: Duration = Duration::from_secs(1);

/// … and for each host, so that its traffic stays bounded.
const REMIND_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);

/// By how much another host's word is taken to be older than it says: what was seen here goes
/// first if the two are about as old.
const UNDER_WAY: Duration = Duration::from_millis(50);

/// When a limit is told next.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    due: Time,
    left: u32,
}

impl Telling {
    /// Tells a change, at once unless the last one was told just now.
    pub(crate) fn restart(&mut self, now: Time) {
        self.due = if self.left == 0 { now } else { self.due };
        self.left = TIMES;
    }

    /// Whether the last change was told often enough.
    pub(crate) const fn is_done(&self) -> bool {
        self.left == 0
    }

    /// Whether it is to be told now.
    fn take(&mut self, now: Time, remind: Option<Duration>) -> bool {
        if now < self.due {
            return false;
        }
        if self.left > 0 {
            self.left -= 1;
            self.due = now + INTERVAL;
            return true;
        }
        if let Some(interval) = remind {
            self.due = now + interval;
        }
        remind.is_some()
    }
}

impl Controller {
    pub(crate) fn tell_limits(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hosts = self.neighbors.len() as u32;
        let interval = REMIND_INTERVAL + REMIND_INTERVAL_PER_HOST * hosts;
        let limits = &mut self.upstream_limits;
        let mut told = Vec::new();
        for upstream in limits.changed.union(&limits.limited) {
            let Some(state) = self.pool.get_mut(upstream) else {
                continue;
            };
            let limit = &mut state.limit;
            let remind = limit.keeper.is_keeper() && limit.rate().is_some();
            if limit.telling.take(now, remind.then_some(interval)) {
                told.push(limit.to_told(upstream, now));
            }
        }
        let pool = &self.pool;
        let is_told = |id: &UpstreamId| pool.get(id).is_none_or(|s| s.limit.telling.is_done());
        limits.changed.retain(|id| !is_told(id));
        if told.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
        self.push_limits(told, to, actions);
    }

    pub(crate) fn push_limits(
        &self,
        told: Vec<NamedLimit>,
        to: Vec<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        if to.is_empty() {
            return;
        }
        for limits in told.chunks(peer::MAX_LIMITS) {
            let note = LimitNote {
                host: self.options.host.clone(),
                limits: limits.to_vec(),
                protocol: peer::PROTOCOL,
            };
            let to = to.clone();
            actions.push(Action::TellLimits { note, to });
        }
    }

    /// Another host told what upstreams name.
    pub(crate) fn on_limits_told(
        &mut self,
        now: Time,
        note: &LimitNote,
        actions: &mut Vec<Action>,
    ) {
        for limit in &note.limits {
            self.learn_limit(now, &note.host, limit, actions);
        }
    }

    pub(crate) fn learn_limit(
        &mut self,
        now: Time,
        host: &HostId,
        limit: &NamedLimit,
        actions: &mut Vec<Action>,
    ) {
        let age = Duration::from_millis(u64::from(limit.age_ms)) + UNDER_WAY;
        let source = LimitSource::Host(host.clone());
        let sent = now - age;
        self.note_limit(now, &limit.upstream, limit.limit, sent, source, actions);
    }
}
