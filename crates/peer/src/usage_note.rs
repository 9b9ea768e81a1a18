use super::*;

/// Most counts in one note: with them it fits into one datagram.
pub const MAX_COUNTS: usize = 2_000;

/// Most models whose work is told.
pub const MAX_MODELS: usize = 64;

/// Requests of each team that began to run in one window, on one host's account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// How many, by team.
    pub counts: Vec<(TeamId, u32)>,
    /// Number of the window.
    pub window: u64,
}

/// Tells the holder of the duties, in one datagram, a host's totals of the windows that are
/// not reported yet. One may be lost or doubled: totals only grow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageNote {
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Version of this protocol.
    pub protocol: u32,
    /// The sender's time of day, Unix time in milliseconds.
    pub unix_ms: u64,
    /// Its totals.
    pub windows: Vec<WindowCounts>,
    /// What it has put on engines, by model. Not in notes of earlier releases, so it is last.
    pub work: Vec<ModelWork>,
}

/// The note of releases that don't tell their work.
#[derive(Deserialize)]
struct NoteWithoutWork {
    host: HostId,
    incarnation: Incarnation,
    protocol: u32,
    unix_ms: u64,
    windows: Vec<WindowCounts>,
}

impl From<NoteWithoutWork> for UsageNote {
    fn from(note: NoteWithoutWork) -> Self {
        Self {
            host: note.host,
            incarnation: note.incarnation,
            protocol: note.protocol,
            unix_ms: note.unix_ms,
            windows: note.windows,
            work: Vec::new(),
        }
    }
}

impl UsageNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Usage, token, self)
    }

    /// Reads a datagram; one without the right mark is not a note of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let kind = datagram::Kind::Usage;
        let note: Self = datagram::decode(kind, token, datagram).or_else(|_| {
            let note: NoteWithoutWork = datagram::decode(kind, token, datagram)?;
            Ok::<Self, MessageError>(note.into())
        })?;
        MessageError::check_protocol(note.protocol)?;
        let counts = note.windows.iter().map(|window| window.counts.len()).sum();
        MessageError::check_size("counts", counts, MAX_COUNTS)?;
        MessageError::check_size("work", note.work.len(), MAX_MODELS)?;
        Ok(note)
    }
}

#[cfg(test)]
#[path = "../tests/unit/usage_note.rs"]
mod tests;
