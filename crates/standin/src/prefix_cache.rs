use super::*;

/// The prompt prefixes that an engine has cached, the oldest forgotten first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    recent: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    /// Whether a prefix was cached; it is afterwards.
    pub(crate) fn touch(&mut self, prefix: &[u8], capacity: usize) -> bool {
        let place = self.recent.iter().position(|cached| cached == prefix);
        if let Some(place) = place {
            self.recent.remove(place);
        }
        self.recent.push_back(prefix.to_vec());
        while self.recent.len() > capacity {
            self.recent.pop_front();
        }
        place.is_some()
    }
}
