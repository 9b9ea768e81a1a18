use super::*;

/// Share of an engine's memory that is assumed to hold cached prompts. The rest holds running
/// requests.
const PROMPT_CACHE_MEMORY_SHARE: f64 = 0.7;

/// Assumed cache size of an engine whose memory is not known.
const DEFAULT_CAPACITY_TOKENS: u64 = 400_000;

/// A part of a prompt that an engine is assumed to have in its cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// Number of the last use; the lowest is the least recent.
    last_use: u64,
    /// Whether the engine is known to have prefilled the part. Otherwise the part was only sent to
    /// the engine.
    is_confirmed: bool,
    tokens: Tokens,
}

/// Estimate of the prompt parts in an engine's cache, from the prompts that were sent to the
/// engine. The least recently used parts are evicted first.
///
/// A part can be reused only behind the same earlier parts, so each part is identified by a hash
/// over the whole chain of parts up to it.
#[derive(Debug)]
pub(crate) struct PromptCache {
    /// Chain hashes of the parts by their last use.
    chain_by_last_use: BTreeMap<u64, u64>,
    capacity_tokens: u64,
    /// Parts by chain hash.
    parts: HashMap<u64, CachedPart>,
    next_use: u64,
    /// Tokens of all parts.
    used_tokens: u64,
}

impl PromptCache {
    pub(crate) fn new(memory: Option<Tokens>) -> Self {
        let capacity = memory.map_or(DEFAULT_CAPACITY_TOKENS, |memory| {
            (f64::from(memory.get()) * PROMPT_CACHE_MEMORY_SHARE) as u64
        });
        Self {
            chain_by_last_use: BTreeMap::new(),
            capacity_tokens: capacity,
            parts: HashMap::default(),
            next_use: 0,
            used_tokens: 0,
        }
    }

    /// Tokens of a prompt that the engine does not have to prefill again.
    pub(crate) fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = chain_hashes(parts).take_while(|(hash, _)| self.parts.contains_key(hash));
        cached.map(|(_, part)| u64::from(part.tokens.get())).sum()
    }

    /// Tokens of a prompt that another engine can fetch from this one.
    pub(crate) fn fetchable_tokens(&self, parts: &[PromptPart]) -> u64 {
        let confirmed = chain_hashes(parts).take_while(|(hash, _)| self.is_confirmed(hash));
        confirmed
            .map(|(_, part)| u64::from(part.tokens.get()))
            .sum()
    }

    /// Records that a prompt is sent to the engine.
    pub(crate) fn note_sent(&mut self, parts: &[PromptPart]) {
        for (hash, part) in chain_hashes(parts) {
            self.touch(hash, part.tokens);
        }
        self.evict_least_recent();
    }

    /// Records that the engine has prefilled a prompt that was sent to it.
    pub(crate) fn confirm(&mut self, parts: &[PromptPart]) {
        for (hash, part) in chain_hashes(parts) {
            self.touch(hash, part.tokens);
            self.mark_confirmed(hash);
        }
        self.evict_least_recent();
    }

    /// The parts of a prompt that the engine is not known to have prefilled, with their chain
    /// hashes.
    pub(crate) fn unconfirmed_parts<'a>(
        &self,
        parts: &'a [PromptPart],
    ) -> impl Iterator<Item = (u64, &'a PromptPart)> {
        chain_hashes(parts).skip_while(|(hash, _)| self.is_confirmed(hash))
    }

    /// Records that the engine has not prefilled a prompt that was sent to it.
    pub(crate) fn remove_unconfirmed(&mut self, parts: &[PromptPart]) {
        let unconfirmed: Vec<u64> = self
            .unconfirmed_parts(parts)
            .map(|(hash, _)| hash)
            .collect();
        for hash in unconfirmed {
            if let Some(part) = self.parts.remove(&hash) {
                self.chain_by_last_use.remove(&part.last_use);
                self.used_tokens -= u64::from(part.tokens.get());
            }
        }
    }

    fn is_confirmed(&self, hash: &u64) -> bool {
        self.parts.get(hash).is_some_and(|part| part.is_confirmed)
    }

    /// Records that the engine has prefilled a part for another host.
    pub(crate) fn confirm_part(&mut self, hash: u64, tokens: Tokens) {
        self.touch(hash, tokens);
        self.mark_confirmed(hash);
        self.evict_least_recent();
    }

    fn mark_confirmed(&mut self, hash: u64) {
        if let Some(part) = self.parts.get_mut(&hash) {
            part.is_confirmed = true;
        }
    }

    /// The parts of a prompt that are not in the cache, with their chain hashes.
    pub(crate) fn uncached_parts<'a>(
        &self,
        parts: &'a [PromptPart],
    ) -> impl Iterator<Item = (u64, &'a PromptPart)> {
        chain_hashes(parts).skip_while(|(hash, _)| self.parts.contains_key(hash))
    }

    fn touch(&mut self, hash: u64, tokens: Tokens) {
        let last_use = self.next_use;
        self.next_use += 1;
        let before = self.parts.get(&hash).copied();
        match before {
            Some(before) => {
                self.chain_by_last_use.remove(&before.last_use);
            }
            None => self.used_tokens += u64::from(tokens.get()),
        }
        let part = CachedPart {
            last_use,
            is_confirmed: before.is_some_and(|before| before.is_confirmed),
            tokens,
        };
        self.parts.insert(hash, part);
        self.chain_by_last_use.insert(last_use, hash);
    }

    fn evict_least_recent(&mut self) {
        while self.used_tokens > self.capacity_tokens {
            let Some((_, hash)) = self.chain_by_last_use.pop_first() else {
                return;
            };
            if let Some(part) = self.parts.remove(&hash) {
                self.used_tokens -= u64::from(part.tokens.get());
            }
        }
    }
}

/// Total number of tokens of prompt parts.
pub(crate) fn total_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens.get())).sum()
}

/// The parts of a prompt, each with a hash over the chain of all parts up to it.
pub(crate) fn chain_hashes(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0_u64, |hash, part| {
        *hash = mix(*hash, part.id);
        Some((*hash, part))
    })
}

/// Mixes two numbers into one that is the same on every host, with the finalizer of SplitMix64.
pub(crate) const fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.rotate_left(17) ^ b.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
