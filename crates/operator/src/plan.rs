use super::*;

/// Maximum output length that a planned request asks for.
const MAX_OUTPUT_TOKENS: f64 = 2_000.0;

/// One request with its intended send time.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) at: Duration,
    pub(crate) flow: usize,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: u64,
    pub(crate) resend: bool,
    pub(crate) tag: String,
}

/// Generates all requests of a scenario at random, in order of time. The result is
/// the same for the same scenario, seed and load factor.
pub(crate) fn plan_requests(scenario: &Scenario, load: f64) -> eyre::Result<Vec<PlannedRequest>> {
    let mut planned = Vec::new();
    for (index, flow) in scenario.flows.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(scenario.seed.wrapping_add(index as u64));
        let peak_per_s = flow.peak_per_s() * load;
        if peak_per_s <= 0.0 {
            continue;
        }
        let gaps = Exp::new(peak_per_s).wrap_err("invalid arrival rate of a flow")?;
        let output_lengths = LogNormal::new(flow.output_median_tokens.ln(), flow.output_sigma)
            .wrap_err("invalid output length of a flow")?;
        let mut at_s = 0.0;
        let mut number = 0;
        loop {
            at_s += gaps.sample(&mut rng);
            if at_s >= scenario.duration_s {
                break;
            }
            // Thinning: arrivals are drawn at the peak rate, and each is kept with
            // the probability `rate_per_s / peak_per_s`.
            let rate_per_s = flow.requests_per_s.get() * load * flow.factor_at(at_s);
            if rng.random::<f64>() >= rate_per_s / peak_per_s {
                continue;
            }
            number += 1;
            planned.push(PlannedRequest {
                at: Duration::from_secs_f64(at_s),
                flow: index,
                output_tokens: output_lengths
                    .sample(&mut rng)
                    .clamp(1.0, MAX_OUTPUT_TOKENS) as u32,
                prefix: match flow.prefixes {
                    0 => rng.random(),
                    prefixes => u64::from(rng.random_range(0..prefixes)),
                },
                resend: rng.random::<f64>() < flow.resend_share,
                tag: format!("f{index}n{number}"),
            });
        }
    }
    planned.sort_by_key(|request| request.at);
    Ok(planned)
}
