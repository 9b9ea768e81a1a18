use super::*;

/// Tells another host in one datagram the load that the sender has put on upstreams and the
/// configuration that it knows. The datagram may be lost; the next note contains everything again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadNote {
    /// Time since the configuration was last known to be the newest.
    pub confirmed_age_ms: Option<u32>,
    /// The last note of the receiver that the sender received.
    pub echo: Option<Echo>,
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Upstreams that are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Load by upstream. Upstreams without load are omitted.
    pub loads: Vec<UpstreamLoad>,
    /// Version of this protocol.
    pub protocol: u32,
    /// Whether other hosts can reach upstreams through the sender. Encoded after `speeds`.
    #[serde(skip)]
    pub reach: Reachability,
    /// Shared prompt parts that engines have recently prefilled and cached for requests of the
    /// sender.
    pub reads: Vec<PromptRead>,
    /// Time at which the note was sent, on the sender's clock.
    pub sent_us: u64,
    /// The sender's estimates of the speed of some engines. Encoded after the rest of the note,
    /// where hosts of the previous release ignore them.
    #[serde(skip)]
    pub speeds: Vec<SpeedVote>,
    /// Version of the configuration in force at the sender.
    pub version: Option<ConfigVersion>,
}

/// Identifies a note that was received.
///
/// The echo bounds the age of the sender's data on the receiver's own clock: the data is not older
/// than the note that is echoed, however long the answer was in transit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The incarnation that sent the echoed note.
    pub incarnation: Incarnation,
    /// Time at which the echoed note was sent, on the clock of that incarnation.
    pub sent_us: u64,
}

/// The load of one host on one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Prompt tokens of requests there that have not produced their first token yet.
    pub backlog: Tokens,
    /// Requests in flight there.
    pub in_flight: u32,
    /// How many of these requests can become late because of long prompts on the same engine.
    pub pause_bound: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// A shared part of a prompt that an engine prefills, and keeps in its cache afterwards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromptRead {
    /// Hash of the sequence of prompt parts up to and including this one.
    pub chain: u64,
    /// Length of this part in tokens.
    pub tokens: Tokens,
    /// The engine.
    pub upstream: UpstreamId,
}

impl LoadNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        let kind = datagram::Kind::Load;
        let no_reach = self.reach == Reachability::default();
        match (no_reach, self.speeds.is_empty()) {
            (true, true) => datagram::encode(kind, token, self),
            (true, false) => datagram::encode(kind, token, &(self, &self.speeds)),
            (false, _) => datagram::encode(kind, token, &(self, &self.speeds, &self.reach)),
        }
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
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
