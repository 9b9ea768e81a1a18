//! Records which prompts are sent to engines, and which prompts the engines have prefilled.

use super::*;

impl Controller {
    /// Chooses what the engine of an attempt fetches of its prompt, and records the prompt there.
    ///
    /// The whole prompt counts as work, including the parts to be fetched, because the source may
    /// no longer have them. If an engine can transfer parts, other hosts are told of a part only
    /// after the engine has prefilled it. They are not told of parts on the rendezvous engine of
    /// the prompt, where they expect the parts anyway.
    pub(crate) fn start_prompt(&mut self, now: Time, request: &mut Request<Running>) {
        let facts = &request.facts;
        let upstream = &request.stage.upstream;
        let placement_request = facts.placement(
            &request.failed_upstreams,
            &facts.version_bound,
            None,
            facts.rank,
            self.stream_share(&facts.target),
            self.neighbors.candidate_limit(),
        );
        let sources =
            self.pool
                .transfer_sources(placement_request.target, placement_request.avoid, now);
        let rendezvous = Pool::rendezvous_engine(sources, placement_request.parts);
        let is_rendezvous = rendezvous.is_some_and(|engine| engine.id == *upstream);
        let fetch = self.pool.plan_fetch(upstream, &placement_request, now);
        // The rendezvous engine has most shared parts cached itself. Parts that no host has
        // announced are therefore unlikely to be fetched, and their transfer is not recorded.
        let is_likely = |fetch: &&PromptFetch| !is_rendezvous || fetch.known_tokens.get() > 0;
        if let Some(fetch) = fetch.as_ref().filter(is_likely) {
            self.note_transfer(now, upstream, fetch);
        }
        if let Some(state) = self.pool.get_mut(upstream) {
            request.stage.prefill = state.start_prefill(&facts.parts);
            if let Target::Model(model) = &facts.target {
                let prefill_ms = state.prefill_ms(u64::from(request.stage.prefill.get()));
                self.reporting.work.add_prompt(model, prefill_ms);
            }
            let reads = state.note_prompt_sent(&facts.parts);
            if TransferSpeed::of(state).is_none() {
                self.neighbors.queue_reads(reads);
            }
        }
        request.stage.fetch = fetch;
        request.stage.is_rendezvous = is_rendezvous;
    }

    fn note_transfer(&mut self, now: Time, destination: &UpstreamId, fetch: &PromptFetch) {
        for end in [&fetch.source, destination] {
            if let Some(state) = self.pool.get_mut(end) {
                state.transfers.record(fetch.expected_end, now);
            }
        }
    }

    /// Records that an engine has prefilled a prompt, as its first token shows.
    pub(crate) fn note_prompt_prefilled(
        &mut self,
        upstream: &UpstreamId,
        parts: &[PromptPart],
        is_rendezvous: bool,
    ) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if TransferSpeed::of(state).is_some() {
            let reads = state.confirm_prompt(parts);
            if !is_rendezvous {
                self.neighbors.queue_reads(reads);
            }
        }
    }

    /// Forgets a prompt for which an engine produced no first token, except for the parts that the
    /// engine had prefilled before.
    pub(crate) fn note_prompt_not_prefilled(
        &mut self,
        upstream: &UpstreamId,
        parts: &[PromptPart],
    ) {
        if let Some(state) = self.pool.get_mut(upstream)
            && TransferSpeed::of(state).is_some()
        {
            state.cache.remove_unconfirmed(parts);
        }
    }
}
