use super::*;

/// Total prefill work that this host has sent to engines since its start, by model, in milliseconds
/// of one engine.
#[derive(Debug, Default)]
pub(crate) struct WorkCounts {
    totals_ms: BTreeMap<ModelId, f64>,
}

impl WorkCounts {
    /// Adds a prompt that is sent to an engine and that takes `read_ms` of prefill.
    pub(crate) fn add_prompt(&mut self, model: &ModelId, read_ms: f64) {
        if let Some(total_ms) = self.totals_ms.get_mut(model) {
            *total_ms += read_ms;
        } else {
            self.totals_ms.insert(model.clone(), read_ms);
        }
    }

    /// Work to report to the host that holds the duties. It consists of totals, so that a lost
    /// message does no harm.
    pub(crate) fn model_work(&self, pool: &Pool) -> Vec<ModelWork> {
        let totals_ms = self.totals_ms.iter().take(peer::MAX_MODELS);
        totals_ms
            .map(|(model, total_ms)| {
                let target = Target::Model(model.clone());
                let upstreams = pool.upstreams_of(&target);
                let waiting_ms: f64 = upstreams
                    .clone()
                    .map(|state| state.prefill_ms(state.backlog_tokens))
                    .sum();
                ModelWork {
                    in_flight: upstreams.map(|state| state.in_flight).sum(),
                    model: model.clone(),
                    total_ms: *total_ms as u64,
                    waiting_ms: waiting_ms as u32,
                }
            })
            .collect()
    }
}
