//! Handles upstreams that say that they are leaving.

use super::*;

/// Time within which a reachable directory lists a departure that a response reported. The other
/// hosts then read the departure there and need no announcement.
const DIRECTORY_LISTING_DELAY: Duration = Duration::from_secs(1);

impl Controller {
    /// Records that an upstream said that it is leaving. Nothing revokes this for
    /// that incarnation of the upstream.
    pub(crate) fn note_leaving(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        source: NoticeSource,
        actions: &mut Vec<Action>,
    ) {
        if !self.pool.record_departure(upstream, &source, now) || source == NoticeSource::Directory
        {
            return;
        }
        if source == NoticeSource::Own {
            let reached = self
                .directory
                .as_ref()
                .is_some_and(DirectoryView::is_reachable);
            let delay = if reached {
                DIRECTORY_LISTING_DELAY
            } else {
                Duration::ZERO
            };
            self.pool
                .departures
                .schedule_announcement(upstream, now + delay);
        }
        actions.push(Action::NoteLeaving(LeavingDetected {
            source,
            upstream: upstream.clone(),
        }));
    }

    /// Records the upstreams that the directory lists as leaving.
    pub(crate) fn note_listed_leaving(&mut self, now: Time, leaving: &BTreeSet<UpstreamId>) {
        for upstream in leaving {
            self.pool
                .record_departure(upstream, &NoticeSource::Directory, now);
        }
    }

    /// Announces departures to the other hosts, and refuses requests that no upstream will accept
    /// in time.
    pub(crate) fn tick_notices(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due = self.pool.departures.take_due(now);
        if !due.is_empty() {
            let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
            self.push_upstream_notes(&due, &[], &to, actions);
        }
        self.pool.drop_expired_departures(now);
        self.refuse_unavailable(now, actions);
    }
}

impl Pool {
    /// Records that an upstream said that it is leaving. Returns whether this is news.
    pub(crate) fn record_departure(
        &mut self,
        upstream: &UpstreamId,
        source: &NoticeSource,
        now: Time,
    ) -> bool {
        let is_news = self.departures.note(upstream, source, now);
        if let (Some(first_hand), Some(place)) = (
            self.departures.known_first_hand(upstream),
            self.index_by_id.get(upstream),
        ) {
            self.states[*place].departure.note_stated(first_hand);
        }
        is_news
    }

    /// Applies the known departures to the states of the upstreams, which may be new.
    pub(crate) fn mark_leaving(&mut self) {
        for state in &mut self.states {
            let listed = self.listed_leaving.contains(&state.id);
            state.departure.note_listed(listed);
            if let Some(first_hand) = self.departures.known_first_hand(&state.id) {
                state.departure.note_stated(first_hand);
            }
        }
    }

    /// Whether any upstream is leaving or has asked for a backoff.
    pub(crate) fn has_notices(&self) -> bool {
        !self.departures.is_empty() || !self.backoffs.is_empty()
    }

    fn drop_expired_departures(&mut self, now: Time) {
        let index = &self.index_by_id;
        self.departures
            .drop_expired(|id| index.contains_key(id), now);
    }
}
