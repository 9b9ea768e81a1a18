use super::*;

/// Maximum number of counts in one note, so that the note fits into one datagram.
pub const MAX_COUNTS: usize = 2_000;

/// Maximum number of models for which a note reports work.
pub const MAX_MODELS: usize = 64;

/// Requests of each team that began to run within one usage window, as counted by one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Number of requests by team.
    pub counts: Vec<(TeamId, u32)>,
    /// Number of the window.
    pub window: u64,
}

/// Tells the holder of the duties lease in one datagram a host's totals of the usage windows that
/// are not reported yet. The datagram may be lost or duplicated, because totals only grow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageNote {
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Version of this protocol.
    pub protocol: u32,
    /// The sender's Unix time in milliseconds.
    pub unix_ms: u64,
    /// The sender's totals by window.
    pub windows: Vec<WindowCounts>,
    /// Prefill work that the sender has put on engines, by model. Notes of earlier releases do not
    /// have this field, so it is last.
    pub work: Vec<ModelWork>,
}

/// The note of releases that do not report their work.
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
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Usage, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
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
