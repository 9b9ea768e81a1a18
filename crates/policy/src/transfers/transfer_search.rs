use super::*;

/// Hosts that are asked one after the other before the search starts anew.
const MAX_ASKED: usize = 4;

/// Looks for a host that has a large answer and a free slot to send it.
#[derive(Debug, Default)]
pub struct TransferSearch {
    asked: Vec<SocketAddr>,
    referred: Vec<SocketAddr>,
}

impl TransferSearch {
    /// Takes the hosts that a busy host refers to, instead of those before: they got the
    /// answer later, and are less asked.
    pub fn refer(&mut self, to: Vec<SocketAddr>) {
        let fresh: Vec<SocketAddr> = to
            .into_iter()
            .filter(|address| !self.asked.contains(address))
            .collect();
        if !fresh.is_empty() {
            self.referred = fresh;
        }
    }

    /// The host to ask next; `None` if the search should start anew later.
    pub fn next(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.asked.len() >= MAX_ASKED || self.referred.is_empty() {
            return None;
        }
        let place = rng.random_range(0..self.referred.len());
        let address = self.referred.swap_remove(place);
        self.asked.push(address);
        Some(address)
    }
}
