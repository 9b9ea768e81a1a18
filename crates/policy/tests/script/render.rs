use super::*;

/// Renders an action as one line of script output.
pub fn render(action: &Action) -> String {
    match action {
        Action::Abandon { request, .. } => format!("abandon the attempt of {request}"),
        Action::AnswerHeartbeat { answer, call } => {
            format!("answer {call}: {}", render_grants(answer.grants.as_deref()))
        }
        Action::AnswerTransit {
            call,
            upstream_address: to,
        } => format!("answer transit {call}: {to:?}"),
        Action::RequestTokens { ask, .. } => format!("ask for tokens of {}", ask.limit.upstream),
        Action::FailStream { refusal, request } => {
            format!("break {request}: {}", render_refusal(refusal))
        }
        Action::Cancel { request, .. } => format!("cancel {request}"),
        Action::CheckPath { upstream, .. } => format!("look for a path to {upstream}"),
        Action::CheckListening { upstream, .. } => format!("look whether {upstream} listens"),
        Action::Claim(claim) => format!("claim {} for {}", claim.key, claim.request),
        Action::ConfirmUpstreams => "confirm the list of upstreams".to_string(),
        Action::FetchConfiguration { address, .. } => format!("fetch configuration of {address}"),
        Action::GrantTokens { grant, .. } => format!("grant {} tokens", grant.count),
        Action::StoreCrashes(crashes) => format!("keep {} crashes", crashes.len()),
        Action::NoteAdmission(noted) => {
            format!("take {:.2} of class {}", noted.level, noted.class)
        }
        Action::NoteCrash(noted) => format!("{} crashed {}", noted.crashes, noted.upstream),
        Action::NoteLeaving(noted) => format!("note that {} leaves", noted.upstream),
        Action::NoteLimit(noted) => match noted.limit {
            Some(limit) => format!("{} takes {limit}", noted.upstream),
            None => format!("{} has no limit", noted.upstream),
        },
        Action::NoteBrittleness(noted) => {
            format!(
                "{} bears {:?} rejections",
                noted.upstream, noted.rejection_limit
            )
        }
        Action::NotePathChange(noted) => format!("note that {} paths are lost", noted.lost),
        Action::NoteSpeed(noted) => format!("{} works at {:.2}", noted.upstream, noted.factor),
        Action::NoteTakenUp(noted) => format!("take up {}: {}", noted.request, noted.source),
        Action::Probe { upstream, .. } => format!("probe {upstream}"),
        Action::ReadConfiguration => "read the configuration".to_string(),
        Action::Record(outcome) => render_outcome(outcome),
        Action::Refuse { refusal, request } => {
            format!("refuse {request}: {}", render_refusal(refusal))
        }
        Action::Replay {
            response: answer,
            request,
        } => format!("replay {request}: {}", answer.body),
        Action::Send { order, request } => {
            let verb = if order.resume_from.is_some() {
                "resume"
            } else {
                "send"
            };
            format!(
                "{verb} {request} to {}, priority {}",
                order.upstream, order.priority
            )
        }
        Action::SendHeartbeat { host, .. } => format!("heartbeat to {host}"),
        Action::SendLoadNotes { notes } => format!("notes to {} hosts", notes.len()),
        Action::SendCrashNote { note, to } => {
            format!("tell {} hosts of {} crashes", to.len(), note.crashes.len())
        }
        Action::SendDutyNote { note, to } => {
            format!("tell {} hosts of holder {}", to.len(), note.host)
        }
        Action::SendStreamNote { to, .. } => format!("tell {} hosts of a stream", to.len()),
        Action::SendUpstreamNote { note, to } => {
            let (leaving, limits) = (note.leaving.len(), note.limits.len());
            format!(
                "tell {} hosts of {leaving} leaving, {limits} limits",
                to.len()
            )
        }
        Action::SendUsageNote { note, .. } => {
            format!("tell the holder of {} windows", note.windows.len())
        }
        Action::SendVersionNote { note, to } => {
            format!("tell {} hosts of version {}", to.len(), note.version)
        }
        Action::Settle(settlement) => {
            let response_body = settlement
                .response
                .as_ref()
                .map_or("no answer", |answer| &answer.body);
            format!(
                "settle {}: {}, {response_body}",
                settlement.key, settlement.verdict
            )
        }
    }
}

fn render_grants(grants: Option<&[Grant]>) -> String {
    let Some(grants) = grants else {
        return "no grants".to_string();
    };
    let grants = grants
        .iter()
        .map(|grant| format!("{} {}+{}", grant.group, grant.first, grant.slots));
    grants.collect::<Vec<_>>().join(", ")
}

/// Renders a refusal. The retry delay is random, so the output shows only whether there is one.
fn render_refusal(refusal: &Refusal) -> String {
    let retry_suffix = if refusal.retry_after.is_some() {
        ", retry"
    } else {
        ""
    };
    format!(
        "{}, {}{retry_suffix}",
        refusal.reason.code(),
        refusal.verdict
    )
}

fn render_outcome(outcome: &Outcome) -> String {
    let target_suffix = if outcome.met_target {
        ", in target"
    } else {
        ""
    };
    let wasted_suffix = match outcome.wasted {
        Some((cause, tokens)) => format!(", wasted {tokens} {cause}"),
        None => String::new(),
    };
    format!(
        "  ended {}, {}{target_suffix}{wasted_suffix}",
        outcome.end.as_str(),
        outcome.verdict
    )
}
