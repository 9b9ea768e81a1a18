//! Metrics of finished requests.
//!
//! No metric has both a team and a class label: with 870 teams and 8 classes, its time series would
//! need more memory than the 32 MB that the control plane may use.

use super::*;

/// Records the outcome of a request.
pub(crate) fn record(outcome: &Outcome) {
    let class = label(outcome.class.as_ref());
    let end = outcome.end.as_str();
    counter!(
        "rhubarbcove_requests_total",
        "class" => class.clone(), "tier" => label(outcome.tier.as_ref()),
        "end" => end, "verdict" => outcome.verdict.as_str(),
    )
    .increment(1);
    if let Some(team) = &outcome.team {
        counter!("rhubarbcove_team_requests_total", "team" => team.to_string(), "end" => end)
            .increment(1);
    }
    if let Some(upstream) = &outcome.upstream {
        counter!("rhubarbcove_upstream_requests_total", "upstream" => upstream.to_string())
            .increment(1);
    }
    if let Some(reason) = outcome.reason {
        counter!("rhubarbcove_refusals_total", "class" => class.clone(), "reason" => reason.code())
            .increment(1);
    }
    histogram!("rhubarbcove_request_seconds", "class" => class.clone())
        .record(outcome.duration.as_secs_f64());
    if let Some(first_token) = outcome.first_token {
        histogram!("rhubarbcove_first_token_seconds", "class" => class.clone())
            .record(first_token.as_secs_f64());
        histogram!("rhubarbcove_longest_pause_seconds", "class" => class)
            .record(outcome.longest_pause.as_secs_f64());
    }
    if let Some((cause, tokens)) = outcome.wasted {
        counter!("rhubarbcove_wasted_tokens_total", "cause" => cause.as_str())
            .increment(u64::from(tokens.get()));
    }
}

/// Counts the prompt tokens that an upstream is to fetch from another engine.
pub(crate) fn record_fetch(order: &SendOrder) {
    if order.fetch_from.is_some() {
        counter!("rhubarbcove_prompt_fetches_total").increment(1);
        counter!("rhubarbcove_prompt_fetch_tokens_total")
            .increment(u64::from(order.inputs.fetch_tokens.get()));
    }
}

/// Value of a label; empty if the value is unknown.
fn label(value: Option<&impl ToString>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}
