//! Checks whether an upstream has ended or is only unreachable.
//!
//! A refused connection alone doesn't show that an upstream has ended. A partition between failure
//! domains resets connections and refuses new ones, and a host on the far side would consider all
//! upstreams beyond the partition ended. The hosts of one domain would then bar harmless requests.
//! Another upstream of the same domain must therefore be seen listening first.

use super::*;

impl Controller {
    /// Checks whether the upstream of a broken connection still listens.
    pub(crate) fn check_listening(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        if self.crashes.suspects.is_not_listening(upstream) {
            self.check_another_in_domain(now, upstream, actions);
            return;
        }
        if let Some(state) = self.pool.get(upstream)
            && self.crashes.suspects.take_check_due(upstream, now)
        {
            actions.push(Action::CheckListening {
                address: state.definition.address(),
                upstream: upstream.clone(),
            });
        }
    }

    pub(crate) fn on_listening_checked(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        listening: Listening,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        let domain = state.definition.failure_domain().clone();
        match listening {
            Listening::Unknown => {}
            Listening::No => {
                self.crashes.suspects.note_not_listening(upstream, &domain);
                self.check_another_in_domain(now, upstream, actions);
            }
            Listening::Yes => {
                for ended in self.crashes.suspects.take_not_listening(&domain) {
                    self.note_upstream_ended(now, &ended, actions);
                }
            }
        }
    }

    /// Checks whether another upstream of the same domain listens. If there is no other upstream,
    /// the expiry of the directory entry is the only sign of the end.
    fn check_another_in_domain(&self, now: Time, upstream: &UpstreamId, actions: &mut Vec<Action>) {
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        let domain = state.definition.failure_domain();
        let other = self.pool.states.iter().find(|state| {
            state.definition.failure_domain() == domain
                && state.health.is_healthy()
                && !state.is_leaving(now)
                && !self.crashes.suspects.is_not_listening(&state.id)
        });
        if let Some(other) = other {
            actions.push(Action::CheckListening {
                address: other.definition.address(),
                upstream: other.id.clone(),
            });
        }
    }
}
