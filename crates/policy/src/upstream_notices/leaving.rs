//! Upstreams that say that they leave.

use super::*;

/// Time in which a directory that answers lists what an answer said: the other hosts then read
/// it there, and need no notice.
const LISTED_WITHIN: Duration = Duration::from_secs(1);

impl Controller {
    /// Notes that an upstream said that it leaves. Nothing takes that back for its incarnation.
    pub(crate) fn note_leaving(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        source: NoticeSource,
        actions: &mut Vec<Action>,
    ) {
        if !self.pool.announce(upstream, &source, now) || source == NoticeSource::Directory {
            return;
        }
        if source == NoticeSource::Own {
            let reached = self
                .directory
                .as_ref()
                .is_some_and(DirectoryView::is_reachable);
            let wait = if reached {
                LISTED_WITHIN
            } else {
                Duration::ZERO
            };
            self.pool.departures.tell_from(upstream, now + wait);
        }
        actions.push(Action::NoteLeaving(LeavingNoted {
            source,
            upstream: upstream.clone(),
        }));
    }

    /// Takes over which upstreams the directory lists as leaving.
    pub(crate) fn note_listed_leaving(&mut self, now: Time, leaving: &BTreeSet<UpstreamId>) {
        for upstream in leaving {
            self.pool.announce(upstream, &NoticeSource::Directory, now);
        }
    }

    /// Tells the other hosts of upstreams that leave, and refuses what none will take in time.
    pub(crate) fn tick_notices(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due = self.pool.departures.take_due(now);
        if !due.is_empty() {
            let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
            self.push_upstream_notes(&due, &[], &to, actions);
        }
        self.pool.forget_departures(now);
        self.refuse_unavailable(now, actions);
    }
}

impl Pool {
    /// Notes that an upstream said that it leaves; whether that is news.
    pub(crate) fn announce(
        &mut self,
        upstream: &UpstreamId,
        source: &NoticeSource,
        now: Time,
    ) -> bool {
        let is_news = self.departures.note(upstream, source, now);
        if let (Some(first_hand), Some(place)) = (
            self.departures.get(upstream),
            self.index_by_id.get(upstream),
        ) {
            self.states[*place].departure.announce(first_hand);
        }
        is_news
    }

    /// Marks the upstreams that are known to leave, as their states may be new.
    pub(crate) fn mark_leaving(&mut self) {
        for state in &mut self.states {
            let listed = self.listed_leaving.contains(&state.id);
            state.departure.note_listed(listed);
            if let Some(first_hand) = self.departures.get(&state.id) {
                state.departure.announce(first_hand);
            }
        }
    }

    /// Whether any upstream leaves, or wants nothing for a while.
    pub(crate) fn has_notices(&self) -> bool {
        !self.departures.is_empty() || !self.backoffs.is_empty()
    }

    fn forget_departures(&mut self, now: Time) {
        let index = &self.index_by_id;
        self.departures.forget(|id| index.contains_key(id), now);
    }
}
