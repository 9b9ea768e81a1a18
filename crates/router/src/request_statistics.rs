use super::*;

/// Short window of the burn rate in seconds: 5 minutes.
const SHORT_WINDOW_S: u64 = 300;

/// Long window of the burn rate in seconds: one hour.
const LONG_WINDOW_S: u64 = 3_600;

/// Maximum number of times to first token that are kept for percentiles; the newest are kept.
const MAX_FIRST_TOKEN_SAMPLES: usize = 4_096;

#[derive(Debug, Default)]
struct ClassStatistics {
    finished: u64,
    first_token_us: VecDeque<u64>,
    met: u64,
    shed: u64,
    tier: Option<Tier>,
    total: u64,
    window: BurnWindow,
}

/// Counts requests and tokens for the report of a host.
#[derive(Debug, Default)]
pub(crate) struct RequestStatistics {
    classes: BTreeMap<ClassId, ClassStatistics>,
    tokens_in_target: u64,
    tokens: u64,
    verdicts: BTreeMap<Verdict, u64>,
    wasted_tokens: BTreeMap<WasteCause, u64>,
}

impl RequestStatistics {
    pub(crate) fn record(&mut self, now: Time, outcome: &Outcome) {
        *self.verdicts.entry(outcome.verdict).or_default() += 1;
        let tokens = u64::from(outcome.tokens.get());
        self.tokens += tokens;
        if outcome.met_target {
            self.tokens_in_target += tokens;
        }
        if let Some((cause, tokens)) = outcome.wasted {
            *self.wasted_tokens.entry(cause).or_default() += u64::from(tokens.get());
            if cause == WasteCause::Repeated {
                self.tokens += u64::from(tokens.get());
            }
        }
        if let Some(class) = &outcome.class {
            let class = self.classes.entry(class.clone()).or_default();
            class.record(now, outcome);
        }
    }

    pub(crate) fn report(&self, now: Time, document: &Document) -> Report {
        let seconds = now.as_us() as f64 / 1e6;
        let wasted_tokens: u64 = self.wasted_tokens.values().sum();
        let share = |part: u64| part as f64 / self.tokens.max(1) as f64;
        let mut classes: Vec<ClassReport> = self
            .classes
            .iter()
            .filter(|(_, statistics)| statistics.total > 0)
            .map(|(id, statistics)| {
                let objective = document
                    .classes
                    .get(id)
                    .map_or(0.95, |class| class.objective);
                statistics.report(id, now, objective)
            })
            .collect();
        classes.sort_by_key(|class| class.tier);
        Report {
            classes,
            goodput_share: share(self.tokens_in_target),
            goodput_tokens_per_s: self.tokens_in_target as f64 / seconds.max(1e-3),
            promises: Vec::new(),
            refused_by_code: BTreeMap::new(),
            verdicts: self.verdicts.clone(),
            wasted_by_cause: self.wasted_tokens.clone(),
            wasted_share: share(wasted_tokens),
        }
    }
}

impl ClassStatistics {
    fn record(&mut self, now: Time, outcome: &Outcome) {
        self.tier = outcome.tier;
        match outcome.end {
            OutcomeEnd::Rejected | OutcomeEnd::CallerGone => return,
            OutcomeEnd::Finished => self.finished += 1,
            OutcomeEnd::Shed => self.shed += 1,
            OutcomeEnd::Broken | OutcomeEnd::Failed | OutcomeEnd::Replayed => {}
        }
        self.total += 1;
        let is_within_target = outcome.met_target || outcome.end == OutcomeEnd::Replayed;
        self.met += u64::from(is_within_target);
        self.window.record(now, is_within_target);
        if let Some(first_token) = outcome.first_token {
            self.first_token_us
                .push_back(first_token.as_micros() as u64);
            if self.first_token_us.len() > MAX_FIRST_TOKEN_SAMPLES {
                self.first_token_us.pop_front();
            }
        }
    }

    fn report(&self, id: &ClassId, now: Time, objective: f64) -> ClassReport {
        let attainment = self.met as f64 / self.total as f64;
        let mut first_token_us: Vec<u64> = self.first_token_us.iter().copied().collect();
        first_token_us.sort_unstable();
        ClassReport {
            attainment,
            budget_left: 1.0 - (1.0 - attainment) / (1.0 - objective),
            burn_rate: self.window.burn_rate(now, SHORT_WINDOW_S, objective),
            burn_rate_long: self.window.burn_rate(now, LONG_WINDOW_S, objective),
            class: id.clone(),
            finished: self.finished,
            first_token_p50_ms: percentile_ms(&first_token_us, 0.5),
            first_token_p95_ms: percentile_ms(&first_token_us, 0.95),
            met: self.met,
            objective,
            shed: self.shed,
            tier: self.tier.unwrap_or(Tier::MOST_URGENT),
            total: self.total,
        }
    }
}

fn percentile_ms(sorted_us: &[u64], share: f64) -> f64 {
    let Some(last) = sorted_us.len().checked_sub(1) else {
        return 0.0;
    };
    sorted_us[(last as f64 * share).round() as usize] as f64 / 1_000.0
}
