use super::*;

/// Why a message of another host is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// The datagram does not come from a host with the same secret, or it is malformed.
    InvalidDatagram,
    /// The response with tables is malformed.
    InvalidTablesResponse,
    /// The request for tables is malformed.
    InvalidTablesRequest,
    /// The message has a protocol version that this host does not support.
    Protocol {
        /// Version of the message.
        found: u32,
    },
    /// A part of the message is larger than allowed.
    Size {
        /// Size of the part.
        found: usize,
        /// Maximum size.
        max: usize,
        /// Name of the part.
        part: String,
    },
}

impl MessageError {
    pub(crate) fn check_protocol(found: u32) -> Result<(), Self> {
        if (OLDEST_PROTOCOL..=PROTOCOL + 1).contains(&found) {
            return Ok(());
        }
        Err(Self::Protocol { found })
    }

    pub(crate) fn check_size(part: &str, found: usize, max: usize) -> Result<(), Self> {
        if found <= max {
            return Ok(());
        }
        Err(Self::Size {
            found,
            max,
            part: part.to_string(),
        })
    }
}

impl Display for MessageError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidDatagram => {
                f.write_str("datagram is malformed or not from a host with the same secret")
            }
            Self::InvalidTablesResponse => f.write_str("response with tables is malformed"),
            Self::InvalidTablesRequest => f.write_str("request for tables is malformed"),
            Self::Protocol { found } => write!(f, "message has protocol version {found}"),
            Self::Size { found, max, part } => {
                write!(f, "message has {found} {part}, at most {max} are allowed")
            }
        }
    }
}

impl std::error::Error for MessageError {}
