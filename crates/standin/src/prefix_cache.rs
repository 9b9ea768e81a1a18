use super::*;

/// The prompt prefixes that an engine has cached, the oldest forgotten first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    recent: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    /// Whether a prefix was cached; it is afterwards.
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
