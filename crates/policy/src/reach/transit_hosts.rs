use super::*;

/// Time for which a host gets no further requests to pass on after it took none, or did not
/// answer.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Time after it could not reach an upstream that a third host reached.
const AVOID_UNREACHED_TIME: Duration = Duration::from_millis(300);

/// Other hosts through which upstreams can be reached.
#[derive(Debug, Default)]
pub(crate) struct TransitHosts {
    /// Until when each is avoided.
    avoided: HashMap<SocketAddr, Time>,
}

impl TransitHosts {
    pub(crate) fn is_avoided(&self, host: SocketAddr, now: Time) -> bool {
        self.avoided.get(&host).is_some_and(|until| now < *until)
    }

    /// Notes how the attempts ended that were made together for one upstream.
    pub(crate) fn note_tries(&mut self, tries: &[PathTry], now: Time) {
        let is_reached = tries.iter().any(|tried| tried.end == PathEnd::Connected);
        for tried in tries {
            let Path::Through(host) = tried.path else {
                continue;
            };
            match tried.end {
                PathEnd::Connected => {
                    self.avoided.remove(&host);
                }
                PathEnd::Declined | PathEnd::NoAnswer | PathEnd::Refused => {
                    self.avoided.insert(host, now + AVOID_TIME);
                }
                PathEnd::Unreached if is_reached => {
                    self.avoided.insert(host, now + AVOID_UNREACHED_TIME);
                }
                PathEnd::Unreached => {}
            }
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.avoided.retain(|_, until| now < *until);
    }
}
