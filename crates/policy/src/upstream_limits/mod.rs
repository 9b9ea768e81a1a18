//! Limits that upstreams name for the requests of all hosts together.
//!
//! In: what answers name.

use super::*;

mod limit_noted;
mod upstream_limit;

pub use limit_noted::{LimitNoted, LimitSource};

pub(crate) use upstream_limit::UpstreamLimit;

impl Controller {
    /// An upstream named its limit, or none, in the answer to a request that this host sent at
    /// a moment.
    pub(crate) fn on_limit_answered(
        &mut self,
        upstream: &UpstreamId,
        limit: &AnsweredLimit,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let rate = match limit {
            AnsweredLimit::Absent => None,
            AnsweredLimit::Invalid(_) => return,
            AnsweredLimit::Named(rate) => Some(*rate),
        };
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if state.limit.note(rate, sent) {
            actions.push(Action::NoteLimit(LimitNoted {
                limit: rate,
                source: LimitSource::Own,
                upstream: upstream.clone(),
            }));
        }
    }

    /// Limits that upstreams name now.
    pub fn limited(&self) -> Vec<(UpstreamId, Rate)> {
        let states = self.pool.states.iter();
        let limited = states.filter_map(|state| Some((state.id.clone(), state.limit.rate()?)));
        limited.collect()
    }
}
