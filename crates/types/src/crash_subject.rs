use super::*;

/// A feature that requests have in common, by which crashes of upstreams are counted. The variants
/// are ordered by the number of requests that they usually affect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CrashSubject {
    /// The requests of one team that are identical.
    Request(Fingerprint),
    /// The requests with this part in their prompts, whoever sends them.
    PromptPart(PromptPartKey),
}

impl CrashSubject {
    /// A short name, for example `part 5c1e07a2`, by which log lines can be correlated.
    pub fn label(&self) -> String {
        match self {
            Self::PromptPart(part) => format!("part {part}"),
            Self::Request(fingerprint) => format!("request {}", fingerprint.short_hex()),
        }
    }
}
