use super::*;

/// Time in which requests arrive, in virtual seconds.
pub const DURATION_S: f64 = 300.0;

/// Parameters of the log-normal output length: the median in tokens, and the standard
/// deviation of its logarithm.
const OUTPUT_MEDIAN: f64 = 80.0;
const OUTPUT_SIGMA: f64 = 0.7;

/// One request of a benchmark.
#[derive(Clone, Debug)]
pub struct BenchRequest {
    pub at: Time,
    pub class: usize,
    pub host: usize,
    pub tokens: u32,
}

impl BenchRequest {
    /// Latest time of the first token that meets the target of the request's class.
    pub fn due(&self) -> Time {
        self.at.plus_ms(CLASSES[self.class].first_token_target_ms)
    }
}

/// Generates Poisson arrivals at `load` times the capacity of the engines. The first host
/// gets `skew` times the requests of each other host.
pub fn generate(site: &Site, load: f64, seed: u64) -> Vec<BenchRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lengths = LogNormal::new(OUTPUT_MEDIAN.ln(), OUTPUT_SIGMA).unwrap();
    let mean = OUTPUT_MEDIAN * (OUTPUT_SIGMA * OUTPUT_SIGMA / 2.0).exp();
    let service_s = simulation::service_time(mean as u32).as_secs_f64();
    let slots = (site.engines * site.slots as usize) as f64;
    let gaps = Exp::new(load * slots / service_s).unwrap();
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(&mut rng);
        if at_s > DURATION_S {
            return requests;
        }
        requests.push(BenchRequest {
            at: Time::from_us((at_s * 1e6) as u64),
            class: pick_class(rng.random()),
            host: pick_host(site, rng.random()),
            tokens: lengths.sample(&mut rng).clamp(1.0, 1_000.0) as u32,
        });
    }
}

fn pick_class(mut sample: f64) -> usize {
    for (number, class) in CLASSES.iter().enumerate() {
        if sample < class.share {
            return number;
        }
        sample -= class.share;
    }
    CLASSES.len() - 1
}

fn pick_host(site: &Site, sample: f64) -> usize {
    let total = site.skew + (site.hosts - 1) as f64;
    let position = sample * total;
    if position < site.skew {
        return 0;
    }
    (1 + (position - site.skew) as usize).min(site.hosts - 1)
}
