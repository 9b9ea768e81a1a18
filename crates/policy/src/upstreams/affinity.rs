use super::*;

/// Most prefixes that are remembered.
const MAX_PREFIXES: usize = 8_192;

/// Remembers which upstream last served a prompt prefix, from this host's own
/// dispatches; the oldest is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    order: VecDeque<(PrefixHash, u64)>,
    next_seq: u64,
    places: HashMap<PrefixHash, (UpstreamId, u64)>,
}

impl Affinity {
    pub(crate) fn lookup(&self, prefix: PrefixHash) -> Option<&UpstreamId> {
        self.places.get(&prefix).map(|(upstream, _)| upstream)
    }

    pub(crate) fn note(&mut self, prefix: PrefixHash, upstream: &UpstreamId) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.places.insert(prefix, (upstream.clone(), seq));
        self.order.push_back((prefix, seq));
        while self.places.len() > MAX_PREFIXES || self.order.len() > 2 * MAX_PREFIXES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((prefix, seq)) = self.order.pop_front() else {
            return;
        };
        let current = self
            .places
            .get(&prefix)
            .is_some_and(|(_, newest)| *newest == seq);
        if current {
            self.places.remove(&prefix);
        }
    }
}
