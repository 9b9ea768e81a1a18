//! Notices that upstreams send in the headers of their responses.
//!
//! Input: one notice for each response, whatever the outcome of its request, and what other hosts
//! and the directory report. Output: which upstreams get no more requests, what other hosts are
//! told, and which requests are refused because no upstream will accept them in time.

use super::*;

mod announcement_schedule;
mod backing_off;
mod backoff;
mod departure;
mod departures;
mod leaving;
mod leaving_detected;
mod notice_source;
mod unavailable;

pub use {leaving_detected::LeavingDetected, notice_source::NoticeSource};

pub(crate) use {
    announcement_schedule::AnnouncementSchedule, backoff::Backoff, departure::Departure,
    departures::Departures,
};

impl Controller {
    /// Handles the notice in a response to a request sent at `sent`.
    pub(crate) fn on_notice_answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        notice: &UpstreamNotice,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        self.on_limit_answered(now, upstream, &notice.limit, sent, actions);
        self.on_brittleness_answered(now, upstream, &notice.rejection_limit, sent, actions);
        if notice.leaving {
            self.note_leaving(now, upstream, NoticeSource::Own, actions);
        }
        self.note_backoff(now, upstream, &notice.backoff);
    }

    /// Handles a note in which another host passes on notices of upstreams.
    pub(crate) fn on_upstream_notices(
        &mut self,
        now: Time,
        note: &UpstreamNote,
        actions: &mut Vec<Action>,
    ) {
        for limit in &note.limits {
            self.record_announced_limit(now, &note.host, limit, actions);
        }
        for upstream in &note.rejected {
            self.note_peer_rejection(now, upstream);
        }
        for upstream in &note.leaving {
            let source = NoticeSource::Host(note.host.clone());
            self.note_leaving(now, upstream, source, actions);
        }
    }

    /// Sends departures and limits to other hosts, in as many datagrams as needed.
    pub(crate) fn push_upstream_notes(
        &self,
        leaving: &[UpstreamId],
        limits: &[LimitNote],
        to: &[SocketAddr],
        actions: &mut Vec<Action>,
    ) {
        if to.is_empty() {
            return;
        }
        let leaving = leaving.chunks(peer::MAX_LEAVING);
        let leaving = leaving.map(|leaving| (leaving.to_vec(), Vec::new()));
        let limits = limits.chunks(peer::MAX_LIMITS);
        let limits = limits.map(|limits| (Vec::new(), limits.to_vec()));
        for (leaving, limits) in leaving.chain(limits) {
            let note = UpstreamNote {
                host: self.options.host.clone(),
                leaving,
                limits,
                protocol: peer::PROTOCOL,
                rejected: Vec::new(),
            };
            let to = to.to_vec();
            actions.push(Action::SendUpstreamNote { note, to });
        }
    }
}
