use super::*;

/// Fixed time of a transfer, in which both engines look up the parts.
const SETUP_MS: f64 = 5.0;

/// Factor on the time of a transfer between failure domains, whose network path carries other
/// traffic as well.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;

/// Speed at which parts of prompts are transferred to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferSpeed {
    ms_per_token: f64,
}

impl TransferSpeed {
    /// Speed over the engine's own link; `None` if the engine cannot fetch.
    pub(crate) fn of(state: &UpstreamState) -> Option<Self> {
        let Upstream::Engine(engine) = &state.definition else {
            return None;
        };
        let token_bytes = engine.prompt_token_bytes?.get() as f64;
        Some(Self {
            ms_per_token: engine.link?.millis_for(token_bytes),
        })
    }

    /// Speed from one engine to another, as limited by the slower link.
    pub(crate) fn between(source: &UpstreamState, destination: &UpstreamState) -> Option<Self> {
        let (from, to) = (Self::of(source)?, Self::of(destination)?);
        let slower = from.ms_per_token.max(to.ms_per_token);
        let source_domain = source.definition.failure_domain();
        let is_same_domain = source_domain == destination.definition.failure_domain();
        Some(Self {
            ms_per_token: slower
                * if is_same_domain {
                    1.0
                } else {
                    CROSS_DOMAIN_FACTOR
                },
        })
    }

    /// Duration of a transfer, in milliseconds.
    pub(crate) fn millis_for(self, tokens: u64) -> f64 {
        SETUP_MS + self.ms_per_token * tokens as f64
    }
}
