use super::*;

/// What a host tells the others, in one datagram, of the load that it has put
/// on upstreams and of the configuration that it knows. One may be lost: the
/// next one says all again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadNote {
    /// How long ago the version was known to be the newest.
    pub confirmed_age_ms: Option<u32>,
    /// The receiver's last note that the sender has got.
    pub echo: Option<Echo>,
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Upstreams that are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Load by upstream; those without any are left out.
    pub loads: Vec<UpstreamLoad>,
    /// Version of this protocol.
    pub protocol: u32,
    /// Whether others can reach upstreams through the sender. It follows the speeds.
    #[serde(skip)]
    pub reach: Reachability,
    /// Shared parts of prompts that the sender has lately had read anew.
    pub reads: Vec<PromptRead>,
    /// When it was sent, on the sender's clock.
    pub sent_us: u64,
    /// How fast the sender believes some engines to be. They stand behind the rest of the note,
    /// where hosts of the release before pass over them.
    #[serde(skip)]
    pub speeds: Vec<SpeedVote>,
    /// Version of the configuration in force at the sender.
    pub version: Option<ConfigVersion>,
}

/// Names a note that was got.
///
/// It ties an age to the receiver's own clock: what the sender says is not
/// older than the note that it names, however long the answer was under way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// When it was sent, on that incarnation's clock.
    pub sent_us: u64,
}

/// A host's load on one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Prompt tokens sent there that have brought no first token yet.
    pub backlog: Tokens,
    /// Requests there.
    pub in_flight: u32,
    /// Those of them that long prompts beside them can make late.
    pub pause_bound: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// A shared part of a prompt that an engine reads, and keeps from then on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromptRead {
    /// Hash of the chain of parts up to this one.
    pub chain: u64,
    /// Tokens of this part.
    pub tokens: Tokens,
    /// The engine.
    pub upstream: UpstreamId,
}

impl LoadNote {
    /// The note as a datagram, with a mark that only hosts of the same secret
    /// can make.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        let kind = datagram::Kind::Load;
        let no_reach = self.reach == Reachability::default();
        match (no_reach, self.speeds.is_empty()) {
            (true, true) => datagram::encode(kind, token, self),
            (true, false) => datagram::encode(kind, token, &(self, &self.speeds)),
            (false, _) => datagram::encode(kind, token, &(self, &self.speeds, &self.reach)),
        }
    }

    /// Reads a datagram; one without the right mark is not a note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let kind = datagram::Kind::Load;
        let (mut note, rest): (Self, &[u8]) = datagram::decode_prefix(kind, token, datagram)?;
        if !rest.is_empty() {
            let (speeds, rest) =
                postcard::take_from_bytes(rest).map_err(|_| MessageError::InvalidDatagram)?;
            note.speeds = speeds;
            if !rest.is_empty() {
                note.reach =
                    postcard::from_bytes(rest).map_err(|_| MessageError::InvalidDatagram)?;
            }
        }
        MessageError::check_protocol(note.protocol)?;
        MessageError::check_size("leaving", note.leaving.len(), MAX_UPSTREAMS)?;
        MessageError::check_size("loads", note.loads.len(), MAX_UPSTREAMS)?;
        MessageError::check_size("reads", note.reads.len(), MAX_READS)?;
        MessageError::check_size("cut_off", note.reach.cut_off.len(), MAX_TARGETS)?;
        MessageError::check_size("speeds", note.speeds.len(), MAX_VOTES)?;
        Ok(note)
    }
}
