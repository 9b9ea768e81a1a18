use super::*;

/// Maximum length of the target in a question, in bytes.
const MAX_TARGET_LEN: usize = 256;

/// The software version at which a stream runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamVersion {
    /// Number of attempts of the request so far. A higher number replaces a lower one, as a request
    /// may be sent to another version until its first event arrives.
    pub attempt: u32,
    /// Version of the upstream's software.
    pub software_version: SoftwareVersion,
    /// The stream.
    pub stream: StreamId,
}

/// A message between two hosts about the software version of a stream, in one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamNote {
    /// Content of the message.
    pub content: StreamMessage,
    /// Version of this protocol.
    pub protocol: u32,
}

/// Content of a [`StreamNote`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamMessage {
    /// The sender has sent the request of a stream to an upstream, and the receiver is to remember
    /// the version.
    Sent(StreamVersion),
    /// A caller takes the stream up at the sender, which asks for its version.
    Asked {
        /// The stream.
        stream: StreamId,
        /// Model or service that the request is for.
        target: String,
    },
    /// Answers a question.
    Answered {
        /// The version; `None` if the sender does not know it.
        found: Option<StreamVersion>,
        /// The stream.
        stream: StreamId,
    },
}

impl StreamNote {
    /// A message in the current version of the protocol.
    pub const fn new(content: StreamMessage) -> Self {
        Self {
            content,
            protocol: PROTOCOL,
        }
    }

    /// Whether the message answers a question.
    pub const fn is_answer(&self) -> bool {
        matches!(self.content, StreamMessage::Answered { .. })
    }

    /// Encodes the message as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Stream, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of message.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Stream, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        if let StreamMessage::Asked { target, .. } = &note.content {
            MessageError::check_size("target", target.len(), MAX_TARGET_LEN)?;
        }
        Ok(note)
    }
}
