use super::*;

/// Part of an engine's memory that cached prompts are believed to take: the
/// rest holds the requests that run.
const PROMPT_CACHE_MEMORY_SHARE: f64 = 0.7;

/// Tokens that an engine is believed to keep where its memory is not known.
const DEFAULT_CAPACITY_TOKENS: u64 = 400_000;

/// A part of a prompt that an engine is believed to keep.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    last_use: u64,
    /// Whether it is known to have been read; else it was only sent there.
    is_confirmed: bool,
    tokens: Tokens,
}

/// The parts of prompts that an engine is believed to keep, from what this host
/// sent there; the least recently used ones are forgotten first.
///
/// A part is of use only behind the same earlier parts, so it is remembered by
/// a hash over the whole chain up to it.
#[derive(Debug)]
pub(crate) struct PromptCache {
    chain_by_last_use: BTreeMap<u64, u64>,
    capacity_tokens: u64,
    parts: HashMap<u64, CachedPart>,
    next_use: u64,
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

    /// Tokens of a prompt that need not be read again.
    pub(crate) fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = chain_hashes(parts).take_while(|(hash, _)| self.parts.contains_key(hash));
        cached.map(|(_, part)| u64::from(part.tokens.get())).sum()
    }

    /// Tokens of a prompt that another engine can fetch from there.
    pub(crate) fn fetchable_tokens(&self, parts: &[PromptPart]) -> u64 {
        let confirmed = chain_hashes(parts).take_while(|(hash, _)| self.is_confirmed(hash));
        confirmed
            .map(|(_, part)| u64::from(part.tokens.get()))
            .sum()
    }

    /// Notes that a prompt is sent there.
    pub(crate) fn note_sent(&mut self, parts: &[PromptPart]) {
        for (hash, part) in chain_hashes(parts) {
            self.touch(hash, part.tokens);
        }
        self.evict_least_recent();
    }

    /// Notes that a prompt that was sent there has been read.
    pub(crate) fn confirm(&mut self, parts: &[PromptPart]) {
        for (hash, part) in chain_hashes(parts) {
            self.touch(hash, part.tokens);
            self.mark_confirmed(hash);
        }
        self.evict_least_recent();
    }

    /// The parts of a prompt that are not known to be read.
    pub(crate) fn unconfirmed_parts<'a>(
        &self,
        parts: &'a [PromptPart],
    ) -> impl Iterator<Item = (u64, &'a PromptPart)> {
        chain_hashes(parts).skip_while(|(hash, _)| self.is_confirmed(hash))
    }

    /// Notes that a prompt that was sent there has not been read for it.
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

    /// Notes that another host had a part read there.
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

    /// The parts of a prompt that are not kept.
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

/// Tokens of some parts together.
pub(crate) fn total_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens.get())).sum()
}

/// The parts of a prompt, each with a hash over all parts up to it.
pub(crate) fn chain_hashes(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0_u64, |hash, part| {
        *hash = mix(*hash, part.id);
        Some((*hash, part))
    })
}

/// Mixes two numbers into one that is the same on every host (the finalizer of
/// SplitMix64).
pub(crate) const fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.rotate_left(17) ^ b.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
