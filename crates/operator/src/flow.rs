use super::*;

/// A span of time in which a flow is faster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// How many times faster.
    pub factor: f64,
    /// Length in seconds.
    pub for_s: f64,
}

/// Requests of one class and team that arrive at random.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Spans in which it is faster.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Class.
    pub class: ClassId,
    /// Whether each request has an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Median output length in tokens; the lengths are log-normal.
    #[serde(default = "default_output_median_tokens")]
    pub output_median_tokens: f64,
    /// Spread of the output length: sigma of its logarithm.
    #[serde(default = "default_output_sigma")]
    pub output_sigma: f64,
    /// Different prompt prefixes; 0 for a new one each time.
    #[serde(default)]
    pub prefixes: u32,
    /// Prompt length in tokens.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens: u32,
    /// Arrivals a second.
    pub requests_per_s: Rate,
    /// Share of requests that the caller sends again with the same key, once
    /// the first has been answered.
    #[serde(default)]
    pub resend_share: f64,
    /// Plain service to be called; a model if there is none.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether the answer is streamed.
    #[serde(default = "default_stream")]
    pub stream: bool,
    /// Team.
    pub team: TeamId,
}

fn default_output_median_tokens() -> f64 {
    60.0
}

fn default_output_sigma() -> f64 {
    0.5
}

fn default_prompt_tokens() -> u32 {
    200
}

fn default_stream() -> bool {
    true
}

impl Flow {
    /// How many times faster it is at a moment.
    pub fn factor_at(&self, at_s: f64) -> f64 {
        self.bursts
            .iter()
            .filter(|burst| at_s >= burst.at_s && at_s < burst.at_s + burst.for_s)
            .map(|burst| burst.factor)
            .product()
    }

    /// Its greatest rate, over all bursts.
    pub fn peak_per_s(&self) -> f64 {
        let peak = self
            .bursts
            .iter()
            .map(|burst| burst.factor.max(1.0))
            .product::<f64>();
        self.requests_per_s.get() * peak
    }
}
