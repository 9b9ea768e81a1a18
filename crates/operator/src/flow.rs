use super::*;

/// A period in which the arrival rate of a flow is multiplied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// Factor by which the arrival rate is multiplied.
    pub factor: f64,
    /// Duration in seconds.
    pub for_s: f64,
}

/// A stream of requests of one class and team with random arrivals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Periods with a multiplied arrival rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Class of the requests.
    pub class: ClassId,
    /// Whether each request has an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Median output length in tokens. The lengths have a log-normal distribution.
    #[serde(default = "default_output_median_tokens")]
    pub output_median_tokens: f64,
    /// Standard deviation of the logarithm of the output length.
    #[serde(default = "default_output_sigma")]
    pub output_sigma: f64,
    /// Number of different prompt prefixes; 0 for a new prefix in each request.
    #[serde(default)]
    pub prefixes: u32,
    /// Prompt length in tokens.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens: u32,
    /// Arrivals per second outside bursts.
    pub requests_per_s: Rate,
    /// Share of requests that the caller sends a second time after the first
    /// response, with the same idempotency key if the flow is `keyed`.
    #[serde(default)]
    pub resend_share: f64,
    /// Plain service to call; `None` to call a model.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether the response is streamed.
    #[serde(default = "default_stream")]
    pub stream: bool,
    /// Team that sends the requests.
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
    /// Factor of the arrival rate `at_s` seconds after the start of the run.
    pub fn factor_at(&self, at_s: f64) -> f64 {
        self.bursts
            .iter()
            .filter(|burst| at_s >= burst.at_s && at_s < burst.at_s + burst.for_s)
            .map(|burst| burst.factor)
            .product()
    }

    /// Upper bound of the arrival rate, as if all bursts overlapped.
    pub fn peak_per_s(&self) -> f64 {
        let peak = self
            .bursts
            .iter()
            .map(|burst| burst.factor.max(1.0))
            .product::<f64>();
        self.requests_per_s.get() * peak
    }
}
