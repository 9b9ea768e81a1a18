use super::*;

/// The prompt prefixes that an engine has cached. The least recently used prefix is
/// evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    recent: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    /// Marks a prefix as the most recently used and adds the prefix if it is missing.
    /// Returns whether the prefix was cached before.
    pub(crate) fn touch(&mut self, prefix: &[u8], capacity: usize) -> bool {
        let position = self.recent.iter().position(|cached| cached == prefix);
        if let Some(position) = position {
            self.recent.remove(position);
        }
        self.recent.push_back(prefix.to_vec());
        while self.recent.len() > capacity {
            self.recent.pop_front();
        }
        position.is_some()
    }
}
