use super::*;

/// Maximum number of hosts that are asked before the search has to start again.
const MAX_HOSTS_ASKED: usize = 4;

/// Search for a host that has a table and a free slot to send it.
#[derive(Debug, Default)]
pub struct TableSourceSearch {
    asked: Vec<SocketAddr>,
    candidates: Vec<SocketAddr>,
}

impl TableSourceSearch {
    /// Replaces the candidates by the hosts that a busy host refers to, without those that were
    /// asked already. The new candidates received the table later, so fewer hosts ask them.
    pub fn follow_referral(&mut self, referred: Vec<SocketAddr>) {
        let unasked: Vec<SocketAddr> = referred
            .into_iter()
            .filter(|address| !self.asked.contains(address))
            .collect();
        if !unasked.is_empty() {
            self.candidates = unasked;
        }
    }

    /// The next host to ask; `None` if the search should start again later.
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
