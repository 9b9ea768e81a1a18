//! What the hosts' logs say of one request.

use super::*;

/// One line of a host's log. Fields that a line does not have are empty.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct LogLine {
    /// Number of the attempt.
    pub attempt: Option<u32>,
    /// Prompt tokens that waited at the upstream for this host.
    pub backlog_tokens: Option<u64>,
    /// What went wrong with an attempt.
    pub cause: Option<String>,
    /// Class.
    pub class: Option<String>,
    /// How long ago the configuration was known to be the newest.
    pub config_age_ms: Option<u64>,
    /// Version of the configuration in force.
    pub config_version: Option<u64>,
    /// Whether part of the answer had gone out.
    pub delivered: Option<bool>,
    /// In which way the request ended.
    pub end: Option<String>,
    /// Time to the first token.
    pub first_token_ms: Option<u64>,
    /// The host that wrote the line.
    pub host: String,
    /// The request.
    pub id: String,
    /// Time from arrival to the end.
    pub lasted_ms: Option<u64>,
    /// What the line is.
    pub msg: String,
    /// Prompt tokens of other hosts that waited at the upstream.
    pub others_backlog_tokens: Option<u64>,
    /// Requests queued on the host.
    pub queued: Option<u64>,
    /// Why it was refused.
    pub reason: Option<String>,
    /// Team.
    pub team: Option<String>,
    /// Wall clock of the host, as RFC 3339.
    pub ts: String,
    /// The upstream.
    pub upstream: Option<String>,
    /// Whether it may have run.
    pub verdict: Option<String>,
    /// Time from arrival to this attempt.
    pub waited_ms: Option<u64>,
}

impl LogLine {
    /// Reads a line; `None` for one that is not of a host. What a log collector
    /// puts before the JSON is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        serde_json::from_str(json).ok()
    }

    /// Whether it tells that a request did not get what it asked for.
    pub fn is_failed_end(&self) -> bool {
        let ended = self.msg == "request: ended";
        let succeeded = matches!(self.end.as_deref(), Some("finished" | "replayed"));
        self.msg == "request: turned away" || (ended && !succeeded)
    }
}

/// All lines of one request, and what they say.
///
/// Lines are ordered by the wall clocks of the hosts, which may differ; the
/// lines of one host keep their order.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    lines: Vec<LogLine>,
}

impl Explanation {
    /// Takes the lines of a request; `None` if there are none.
    pub fn from_lines(id: &str, lines: Vec<LogLine>) -> Option<Self> {
        let mut lines: Vec<LogLine> = lines.into_iter().filter(|line| line.id == id).collect();
        lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        (!lines.is_empty()).then_some(Self { lines })
    }

    fn last_with(&self, msg: &str) -> Option<&LogLine> {
        self.lines.iter().rev().find(|line| line.msg == msg)
    }

    fn count(&self, msg: &str) -> usize {
        self.lines.iter().filter(|line| line.msg == msg).count()
    }

    /// What decided the request's end, in a few sentences.
    pub fn summary(&self) -> String {
        if let Some(line) = self.last_with("request: turned away") {
            return explain_refusal(line);
        }
        let Some(end) = self.last_with("request: ended") else {
            return format!(
                "It was sent {} times, and no line tells its end: the host was stopped or killed \
                 before it, or the line was dropped.",
                self.count("request: sent")
            );
        };
        let mut sentences = vec![self.explain_attempts(), explain_end(end)];
        sentences.extend(explain_reason(end));
        sentences.retain(|sentence| !sentence.is_empty());
        sentences.join(" ")
    }

    fn explain_attempts(&self) -> String {
        let sent = self.lines.iter().filter(|line| line.msg == "request: sent");
        let failed = self.lines.iter().filter(|line| line.cause.is_some());
        let failed: Vec<&LogLine> = failed.collect();
        let mut sentences = Vec::new();
        for (number, line) in sent.enumerate() {
            let mut sentence = format!(
                "It was sent to {} after {} ms",
                text_or_unknown(&line.upstream),
                line.waited_ms.unwrap_or_default()
            );
            let waiting = line.backlog_tokens.unwrap_or_default()
                + line.others_backlog_tokens.unwrap_or_default();
            if waiting > 0 {
                sentence += &format!(", with {waiting} prompt tokens to read there");
            }
            if let Some(failure) = failed.get(number) {
                let part = if failure.delivered == Some(true) {
                    " after part of the answer had gone out"
                } else {
                    ""
                };
                sentence += &format!(
                    "; that attempt failed ({}){part}",
                    text_or_unknown(&failure.cause)
                );
            }
            sentences.push(sentence + ".");
        }
        sentences.join(" ")
    }
}

fn text_or_unknown(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("unknown")
}

fn describe_configuration(line: &LogLine) -> String {
    match (line.config_version, line.config_age_ms) {
        (Some(version), Some(age)) => format!(
            "the host had version {version} of the configuration, known to be the newest {age} ms \
             before"
        ),
        (Some(version), None) => format!("the host had version {version} of the configuration"),
        _ => "the host had no configuration".to_string(),
    }
}

fn explain_refusal(line: &LogLine) -> String {
    let reason = text_or_unknown(&line.reason);
    format!(
        "It was refused at once ({reason}), and did not run: {}.",
        describe_configuration(line)
    )
}

fn explain_end(end: &LogLine) -> String {
    let lasted = end.lasted_ms.unwrap_or_default();
    let mut sentence = format!(
        "It ended as {} after {lasted} ms, verdict {}",
        text_or_unknown(&end.end),
        text_or_unknown(&end.verdict)
    );
    if let Some(first) = end.first_token_ms {
        sentence += &format!(", with its first token after {first} ms");
    }
    sentence + "."
}

/// What the reason of a refusal means, with the inputs that decided it.
fn explain_reason(end: &LogLine) -> Option<String> {
    let reason = end.reason.as_deref()?;
    Some(match reason {
        "configuration_stale" => format!(
            "A key is not taken for valid while it may have been removed: {}.",
            describe_configuration(end)
        ),
        "unknown_key" => format!("No team has its key: {}.", describe_configuration(end)),
        "deadline_passed" | "deadline_unreachable" | "queue_full" => format!(
            "It waited for an upstream with room; {} requests were queued on the host.",
            end.queued.unwrap_or_default()
        ),
        "upstream_failed" => {
            "No other attempt was allowed, or none was left: see the causes above.".to_string()
        }
        other => format!("The reason was {other}."),
    })
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            write!(f, "{} {:16} {}", line.ts, line.host, line.msg)?;
            let facts = [
                line.upstream.as_deref(),
                line.cause.as_deref(),
                line.end.as_deref(),
                line.reason.as_deref(),
                line.verdict.as_deref(),
            ];
            for fact in facts.into_iter().flatten().filter(|fact| !fact.is_empty()) {
                write!(f, " {fact}")?;
            }
            writeln!(f)?;
        }
        write!(f, "{}", self.summary())
    }
}
