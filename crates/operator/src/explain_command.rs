use super::*;

/// Options of `explain`.
#[derive(Bpaf, Clone, Debug)]
pub struct ExplainCommand {
    /// List failed requests of this class instead of explaining one request
    #[bpaf(argument("CLASS"))]
    class: Option<String>,
    /// List failed requests with this reason instead of explaining one request
    #[bpaf(argument("REASON"))]
    reason: Option<String>,
    /// List failed requests since this time (RFC 3339) instead of explaining one
    /// request
    #[bpaf(argument("TIME"))]
    since: Option<String>,
    /// Id of the request, if one is to be explained, and log files of hosts; without
    /// files, logs are read from standard input
    #[bpaf(positional("ID or FILE"))]
    id_and_files: Vec<String>,
}

impl ExplainCommand {
    pub(crate) fn run(self) -> eyre::Result<()> {
        if self.is_listing() {
            return self.list(read_lines(&self.id_and_files)?);
        }
        let Some((id, files)) = self.id_and_files.split_first() else {
            bail!("expected the id of a request, or --since, --class or --reason");
        };
        match Explanation::from_lines(id, read_lines(files)?) {
            Some(explanation) => print(&format!("{explanation}\n")),
            None => bail!("no line of request {id} is in these logs"),
        }
    }

    const fn is_listing(&self) -> bool {
        self.class.is_some() || self.reason.is_some() || self.since.is_some()
    }

    fn list(&self, lines: Vec<LogLine>) -> eyre::Result<()> {
        let matches_filter =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        let mut failed: Vec<LogLine> = lines
            .into_iter()
            .filter(LogLine::is_failed_end)
            .filter(|line| matches_filter(&self.class, &line.class))
            .filter(|line| matches_filter(&self.reason, &line.reason))
            .filter(|line| self.since.as_ref().is_none_or(|since| line.ts >= *since))
            .collect();
        failed.sort_by(|a, b| a.ts.cmp(&b.ts));
        if failed.is_empty() {
            bail!("no failed request in these logs fits");
        }
        print(&failed.iter().map(format_failed_request).collect::<String>())
    }
}

/// Formats a failed request as one line of the list.
fn format_failed_request(line: &LogLine) -> String {
    let text = |value: &Option<String>| match value.as_deref() {
        None | Some("") => "-".to_string(),
        Some(value) => value.to_string(),
    };
    let [class, end, reason] = [&line.class, &line.end, &line.reason].map(text);
    let LogLine { host, id, ts, .. } = line;
    format!("{ts} {host} {id} {class} {end} {reason}\n")
}

/// Prints the text. A closed pipe is no error, because a reader such as `head` closes
/// the pipe early.
fn print(text: &str) -> eyre::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}

/// Reads the log lines from the files, or from standard input without files. Lines
/// that are not from a host's log are skipped.
fn read_lines(files: &[String]) -> eyre::Result<Vec<LogLine>> {
    if files.is_empty() {
        return parse_lines(std::io::stdin().lock());
    }
    let mut lines = Vec::new();
    for file in files {
        let opened = std::fs::File::open(file).wrap_err_with(|| format!("cannot read {file}"))?;
        lines.extend(parse_lines(BufReader::new(opened))?);
    }
    Ok(lines)
}

fn parse_lines(reader: impl BufRead) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for text in reader.lines() {
        lines.extend(LogLine::parse(&text?));
    }
    Ok(lines)
}
