use super::*;

/// Maximum number of prompt prefixes kept.
const MAX_PREFIXES: usize = 8_192;

/// Maps each prompt prefix to the upstream that this host last sent it to. The oldest entries are
/// evicted first.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    /// Prefixes with their sequence numbers, oldest first. A prefix that is recorded again leaves a
    /// stale entry behind.
    order: VecDeque<(PrefixHash, u64)>,
    next_seq: u64,
    /// Last upstream of each prefix, with the sequence number of its current entry in `order`.
    upstreams: HashMap<PrefixHash, (UpstreamId, u64)>,
}

impl Affinity {
    pub(crate) fn lookup(&self, prefix: PrefixHash) -> Option<&UpstreamId> {
        self.upstreams.get(&prefix).map(|(upstream, _)| upstream)
    }

    pub(crate) fn note(&mut self, prefix: PrefixHash, upstream: &UpstreamId) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.upstreams.insert(prefix, (upstream.clone(), seq));
        self.order.push_back((prefix, seq));
        while self.upstreams.len() > MAX_PREFIXES || self.order.len() > 2 * MAX_PREFIXES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((prefix, seq)) = self.order.pop_front() else {
            return;
        };
        let is_newest = self
            .upstreams
            .get(&prefix)
            .is_some_and(|(_, newest)| *newest == seq);
        if is_newest {
            self.upstreams.remove(&prefix);
        }
    }
}
