use super::*;

/// Maximum number of crashes in one note, so that the note fits into one packet.
pub const MAX_CRASHES: usize = 12;

/// A crash of an upstream on which a request with the given feature was running or queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Time since the crash.
    pub age_ms: u32,
    /// Whether the crash is weak evidence: the response had begun, or an identical request had
    /// completed recently.
    pub is_weak: bool,
    /// Feature of the request.
    pub subject: CrashSubject,
    /// The upstream that crashed. The id includes the incarnation if the upstream reports it.
    pub upstream: UpstreamId,
}

/// A request that completed, so that earlier crashes are no evidence against its features.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cleared {
    /// Time since the request completed.
    pub age_ms: u32,
    /// Feature of the request.
    pub subject: CrashSubject,
}

/// Tells another host in one datagram which requests were on upstreams that crashed. The datagram
/// may be lost, so each crash is announced several times.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashNote {
    /// Features of requests that completed on the sender after crashes of them had been announced.
    pub cleared: Vec<Cleared>,
    /// Crashes that the sender observed itself. Crashes that it received from others are not
    /// forwarded.
    pub crashes: Vec<Crash>,
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
}

/// A crash under a request, as encoded.
#[derive(Debug, Deserialize, Serialize)]
struct EncodedCrash<S> {
    age_ms: u32,
    subject: S,
    is_weak: bool,
    upstream: UpstreamId,
}

/// A completed request, as encoded.
#[derive(Debug, Deserialize, Serialize)]
struct EncodedCleared<S> {
    age_ms: u32,
    subject: S,
}

/// The part of a note that hosts of all releases read.
#[derive(Debug, Deserialize, Serialize)]
struct EncodedNote {
    cleared: Vec<EncodedCleared<Fingerprint>>,
    crashes: Vec<EncodedCrash<Fingerprint>>,
    host: HostId,
    protocol: u32,
}

/// The part of a note that follows, which hosts of the previous release ignore.
#[derive(Debug, Default, Deserialize, Serialize)]
struct EncodedParts {
    cleared: Vec<EncodedCleared<PromptPartKey>>,
    crashes: Vec<EncodedCrash<PromptPartKey>>,
}

impl CrashNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        let mut note = EncodedNote {
            cleared: Vec::new(),
            crashes: Vec::new(),
            host: self.host.clone(),
            protocol: self.protocol,
        };
        let mut parts = EncodedParts::default();
        for crash in &self.crashes {
            match crash.subject {
                CrashSubject::PromptPart(part) => parts.crashes.push(crash.encode(part)),
                CrashSubject::Request(fingerprint) => note.crashes.push(crash.encode(fingerprint)),
            }
        }
        for cleared in &self.cleared {
            match cleared.subject {
                CrashSubject::PromptPart(part) => parts.cleared.push(cleared.encode(part)),
                CrashSubject::Request(fingerprint) => {
                    note.cleared.push(cleared.encode(fingerprint));
                }
            }
        }
        if parts.cleared.is_empty() && parts.crashes.is_empty() {
            return datagram::encode(datagram::Kind::Crash, token, &note);
        }
        datagram::encode(datagram::Kind::Crash, token, &(note, parts))
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let (note, rest): (EncodedNote, &[u8]) =
            datagram::decode_prefix(datagram::Kind::Crash, token, datagram)?;
        let parts: EncodedParts = if rest.is_empty() {
            EncodedParts::default()
        } else {
            postcard::from_bytes(rest).map_err(|_| MessageError::InvalidDatagram)?
        };
        MessageError::check_protocol(note.protocol)?;
        let requests = note.crashes.into_iter();
        let requests = requests.map(|crash| crash.decode(CrashSubject::Request));
        let part_crashes = parts.crashes.into_iter();
        let part_crashes = part_crashes.map(|crash| crash.decode(CrashSubject::PromptPart));
        let crashes: Vec<Crash> = requests.chain(part_crashes).collect();
        let requests = note.cleared.into_iter();
        let requests = requests.map(|cleared| cleared.decode(CrashSubject::Request));
        let cleared_parts = parts.cleared.into_iter();
        let cleared_parts = cleared_parts.map(|cleared| cleared.decode(CrashSubject::PromptPart));
        let cleared: Vec<Cleared> = requests.chain(cleared_parts).collect();
        MessageError::check_size("cleared", cleared.len(), MAX_CRASHES)?;
        MessageError::check_size("crashes", crashes.len(), MAX_CRASHES)?;
        Ok(Self {
            cleared,
            crashes,
            host: note.host,
            protocol: note.protocol,
        })
    }
}

impl Crash {
    fn encode<S>(&self, subject: S) -> EncodedCrash<S> {
        EncodedCrash {
            age_ms: self.age_ms,
            subject,
            is_weak: self.is_weak,
            upstream: self.upstream.clone(),
        }
    }
}

impl Cleared {
    const fn encode<S: Copy>(&self, subject: S) -> EncodedCleared<S> {
        EncodedCleared {
            age_ms: self.age_ms,
            subject,
        }
    }
}

impl<S> EncodedCrash<S> {
    fn decode(self, subject: fn(S) -> CrashSubject) -> Crash {
        Crash {
            age_ms: self.age_ms,
            is_weak: self.is_weak,
            subject: subject(self.subject),
            upstream: self.upstream,
        }
    }
}

impl<S> EncodedCleared<S> {
    fn decode(self, subject: fn(S) -> CrashSubject) -> Cleared {
        Cleared {
            age_ms: self.age_ms,
            subject: subject(self.subject),
        }
    }
}
