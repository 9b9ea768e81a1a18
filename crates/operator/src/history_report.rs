use super::*;

/// Service-level objective for the burn rate: the share of requests that should meet
/// their targets.
const OBJECTIVE: f64 = 0.95;

/// Builds the report on a run from the records of callers and the runs on upstreams.
pub fn history_report(scenario: &Scenario, experiment: &Experiment) -> Report {
    let mut report = Report {
        promises: check_guarantees(scenario, experiment),
        ..Report::default()
    };
    for record in &experiment.records {
        if let Some(code) = &record.code {
            *report.refused_by_code.entry(code.clone()).or_default() += 1;
        }
        if let Some(verdict) = record.verdict {
            *report.verdicts.entry(verdict).or_default() += 1;
        }
    }
    report.classes = scenario
        .classes
        .iter()
        .filter_map(|class| class_report(class, &experiment.records))
        .collect();
    report.classes.sort_by_key(|class| class.tier);
    add_goodput_and_waste(&mut report, scenario, experiment);
    report
}

fn class_report(class: &ScenarioClass, records: &[Record]) -> Option<ClassReport> {
    let records: Vec<&Record> = records
        .iter()
        .filter(|record| record.class == class.id)
        .collect();
    if records.is_empty() {
        return None;
    }
    let count = |ending: Ending| {
        records
            .iter()
            .filter(|record| record.ending == ending)
            .count() as u64
    };
    let met = records
        .iter()
        .filter(|record| record.meets_targets(class))
        .count() as u64;
    let total = records.len() as u64;
    let attainment = met as f64 / total as f64;
    let burn_rate = (1.0 - attainment) / (1.0 - OBJECTIVE);
    let first_token = first_token_histogram(&records);
    Some(ClassReport {
        attainment,
        budget_left: 1.0 - burn_rate,
        burn_rate,
        burn_rate_long: burn_rate,
        class: class.id.clone(),
        finished: count(Ending::Finished),
        first_token_p50_ms: first_token.value_at_quantile(0.5) as f64 / 1e3,
        first_token_p95_ms: first_token.value_at_quantile(0.95) as f64 / 1e3,
        met,
        objective: OBJECTIVE,
        shed: count(Ending::Refused),
        tier: class.tier,
        total,
    })
}

/// Largest value that the histogram can tell apart: 10 minutes.
const MAX_FIRST_TOKEN_US: u64 = 600_000_000;

/// Builds a histogram of the times to the first token, in microseconds.
fn first_token_histogram(records: &[&Record]) -> hdrhistogram::Histogram<u64> {
    let mut histogram = hdrhistogram::Histogram::new_with_max(MAX_FIRST_TOKEN_US, 3)
        .expect("the bounds and three significant digits are allowed");
    for first_token_ms in records.iter().filter_map(|record| record.first_token_ms) {
        histogram.saturating_record((first_token_ms * 1e3) as u64);
    }
    histogram
}

/// Adds goodput and wasted work. Every token that an upstream computed counts either
/// as delivered in a complete response or as wasted, by cause.
fn add_goodput_and_waste(report: &mut Report, scenario: &Scenario, experiment: &Experiment) {
    let mut runs_by_tag: HashMap<&str, Vec<&Run>> = HashMap::default();
    for run in &experiment.runs {
        runs_by_tag.entry(&run.tag).or_default().push(run);
    }
    let mut goodput_tokens = 0;
    let mut computed_tokens = 0;
    let mut seen: HashSet<&str> = HashSet::default();
    for record in &experiment.records {
        if !seen.insert(&record.tag) {
            continue;
        }
        let runs = runs_by_tag
            .get(record.tag.as_str())
            .map_or(&[][..], Vec::as_slice);
        let tokens: u64 = runs.iter().map(|run| u64::from(run.tokens)).sum();
        computed_tokens += tokens;
        let delivered = if record.is_complete() {
            u64::from(record.wanted)
        } else {
            0
        };
        let met = scenario
            .class(&record.class)
            .is_ok_and(|class| record.meets_targets(class));
        if met {
            goodput_tokens += delivered;
        }
        let cause = match record.ending {
            Ending::Finished | Ending::Replayed => WasteCause::Repeated,
            Ending::Broken | Ending::Refused => WasteCause::CutOff,
            Ending::Lost => WasteCause::Discarded,
        };
        let wasted = tokens.saturating_sub(delivered);
        *report.wasted_by_cause.entry(cause).or_default() += wasted;
    }
    let wasted: u64 = report.wasted_by_cause.values().sum();
    report.goodput_share = goodput_tokens as f64 / computed_tokens.max(1) as f64;
    report.goodput_tokens_per_s = goodput_tokens as f64 / scenario.duration_s;
    report.wasted_share = wasted as f64 / computed_tokens.max(1) as f64;
}
