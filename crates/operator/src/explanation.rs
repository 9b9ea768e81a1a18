//! Explains the outcome of one request from the logs of the hosts.

use super::*;

/// One line of a host's log. Fields that are missing in the line have their default
/// values.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct LogLine {
    /// Number of the attempt.
    pub attempt: Option<u32>,
    /// Prompt tokens of this host's requests that waited at the upstream.
    pub backlog_tokens: Option<u64>,
    /// Why an attempt failed.
    pub cause: Option<String>,
    /// Class of the request.
    pub class: Option<String>,
    /// Time since the configuration was last known to be the newest.
    pub config_age_ms: Option<u64>,
    /// Version of the configuration in force.
    pub config_version: Option<u64>,
    /// Whether part of the response had been sent to the caller.
    pub delivered: Option<bool>,
    /// How the request ended.
    pub end: Option<String>,
    /// Time from arrival to the first token.
    pub first_token_ms: Option<u64>,
    /// The host that wrote the line.
    pub host: String,
    /// Id of the request.
    pub id: String,
    /// Time from arrival to the end of the request.
    pub lasted_ms: Option<u64>,
    /// Log message, which tells the kind of event.
    pub msg: String,
    /// Prompt tokens of other hosts' requests that waited at the upstream.
    pub others_backlog_tokens: Option<u64>,
    /// Requests queued on the host.
    pub queued: Option<u64>,
    /// Why the request was refused.
    pub reason: Option<String>,
    /// Team of the caller.
    pub team: Option<String>,
    /// Time of the line by the host's wall clock, as RFC 3339.
    pub ts: String,
    /// Upstream of the attempt.
    pub upstream: Option<String>,
    /// Verdict on whether the request may have run.
    pub verdict: Option<String>,
    /// Time from arrival to this attempt.
    pub waited_ms: Option<u64>,
}

impl LogLine {
    /// Parses a line; `None` for a line without a JSON object of a host's log. A
    /// prefix that a log collector puts before the JSON is ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        serde_json::from_str(json).ok()
    }

    /// Whether the line reports that a request was refused or failed.
    pub fn is_failed_end(&self) -> bool {
        let ended = self.msg == "request: ended";
        let succeeded = matches!(self.end.as_deref(), Some("finished" | "replayed"));
        self.msg == "request: turned away" || (ended && !succeeded)
    }
}

/// All log lines of one request and the explanation that they give.
///
/// Lines are ordered by the hosts' wall clocks, which may differ. Lines of one host
/// with equal times keep their order.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    lines: Vec<LogLine>,
}

impl Explanation {
    /// Selects the lines of a request; `None` if the request has no line.
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

    /// Describes in a few sentences how the request ended and why.
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

/// Explains the reason of a refusal and the values that led to the refusal.
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
