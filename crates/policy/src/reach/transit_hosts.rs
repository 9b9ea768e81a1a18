use super::*;

/// How long a host is avoided after it declined or refused a transit connection, or did not answer.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How long a host is avoided after it could not reach an upstream that was reached over another
/// path.
const AVOID_UNREACHED_TIME: Duration = Duration::from_millis(300);

/// Records which of the hosts through which upstreams can be reached are avoided for now.
#[derive(Debug, Default)]
pub(crate) struct TransitHosts {
    /// Until when each host is avoided, by address.
    avoided: HashMap<SocketAddr, Time>,
}

impl TransitHosts {
    pub(crate) fn is_avoided(&self, host: SocketAddr, now: Time) -> bool {
        self.avoided.get(&host).is_some_and(|until| now < *until)
    }

    /// Records how the connection attempts ended that were made for one upstream at the same time.
    pub(crate) fn note_tries(&mut self, tries: &[PathAttempt], now: Time) {
        let is_reached = tries
            .iter()
            .any(|tried| tried.outcome == PathOutcome::Connected);
        for tried in tries {
            let Path::Through(host) = tried.path else {
                continue;
            };
            match tried.outcome {
                PathOutcome::Connected => {
                    self.avoided.remove(&host);
                }
                PathOutcome::Declined | PathOutcome::NoAnswer | PathOutcome::Refused => {
                    self.avoided.insert(host, now + AVOID_TIME);
                }
                PathOutcome::Unreached if is_reached => {
                    self.avoided.insert(host, now + AVOID_UNREACHED_TIME);
                }
                PathOutcome::Unreached => {}
            }
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.avoided.retain(|_, until| now < *until);
    }
}
