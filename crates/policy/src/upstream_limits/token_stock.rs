use super::*;

/// Requests of all hosts that an upstream may get beyond its rate where hosts spend parts of
/// their own: with them a part holds a whole token.
const PARTS_EXTRA: f64 = 2.0;

/// Part of a limit that is divided equally where hosts spend parts of their own.
pub(crate) const PARTS: f64 = 0.5;

/// The tokens of one host for one upstream.
#[derive(Debug, Default)]
pub(crate) struct TokenStock {
    /// When granted tokens lapse, in order.
    granted: VecDeque<Time>,
    /// Whether the limit has just begun, so that all of the own part is there.
    is_new: bool,
    /// This host's own part, for which it asks nobody.
    part: TokenBucket,
}

impl TokenStock {
    /// Whether each of so many hosts has a part of its own of a limit. A part must hold a whole
    /// token, and if all hosts send at once the upstream must not get much more than the limit.
    pub(crate) fn has_parts(rate_per_s: f64, hosts: usize) -> bool {
        rate_per_s + PARTS_EXTRA >= hosts as f64
    }

    /// Follows the limit and the number of hosts.
    pub(crate) fn follow(&mut self, rate_per_s: f64, hosts: usize, now: Time) {
        let is_new = std::mem::take(&mut self.is_new);
        if Self::has_parts(rate_per_s, hosts) {
            let hosts = hosts as f64;
            let max = (rate_per_s + PARTS_EXTRA) / hosts;
            self.part.follow(PARTS * rate_per_s / hosts, max, now);
            if is_new {
                self.part.fill_up();
            }
        } else {
            self.part.follow(0.0, 0.0, now);
        }
    }

    /// A limit begins.
    pub(crate) fn restart(&mut self, now: Time) {
        self.granted.clear();
        self.is_new = true;
        self.part.restart(now);
    }

    pub(crate) fn grant(&mut self, count: u32, now: Time) {
        self.forget(now);
        let tokens = (0..count).map(|_| now + TOKEN_VALID);
        self.granted.extend(tokens);
    }

    pub(crate) fn has_token(&self, now: Time) -> bool {
        self.granted.back().is_some_and(|until| now < *until) || self.part.tokens(now) > 0
    }

    /// Takes a token, if there is one.
    pub(crate) fn spend(&mut self, now: Time) {
        self.forget(now);
        if self.granted.pop_front().is_none() && self.part.tokens(now) > 0 {
            self.part.take(1, now);
        }
    }

    fn forget(&mut self, now: Time) {
        while self.granted.front().is_some_and(|until| now >= *until) {
            self.granted.pop_front();
        }
    }
}
