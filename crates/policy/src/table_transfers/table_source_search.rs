use super::*;

/// Hosts that are asked one after the other before the search starts anew.
const MAX_HOSTS_ASKED: usize = 4;

/// Looks for a host that has a large answer and a free slot to send it.
#[derive(Debug, Default)]
pub struct TableSourceSearch {
    asked: Vec<SocketAddr>,
    candidates: Vec<SocketAddr>,
}

impl TableSourceSearch {
    /// Takes the hosts that a busy host refers to, instead of those before: they got the
    /// answer later, and are less asked.
    pub fn follow_referral(&mut self, referred: Vec<SocketAddr>) {
        let unasked: Vec<SocketAddr> = referred
            .into_iter()
            .filter(|address| !self.asked.contains(address))
            .collect();
        if !unasked.is_empty() {
            self.candidates = unasked;
        }
    }

    /// The host to ask next; `None` if the search should start anew later.
    pub fn next(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.asked.len() >= MAX_HOSTS_ASKED || self.candidates.is_empty() {
            return None;
        }
        let index = rng.random_range(0..self.candidates.len());
        let address = self.candidates.swap_remove(index);
        self.asked.push(address);
        Some(address)
    }
}
