use super::*;

/// Why a message of another host is not used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// It is not a note of a host with the same secret.
    InvalidDatagram,
    /// It does not hold news of tables.
    InvalidTablesResponse,
    /// It is not a question for tables.
    InvalidTablesRequest,
    /// It has a version that this host does not speak.
    Protocol {
        /// The version.
        found: u32,
    },
    /// A part of it is larger than allowed.
    Size {
        /// How large it is.
        found: usize,
        /// The most that is allowed.
        max: usize,
        /// The part.
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
                f.write_str("datagram is not a note of a host with the same secret")
            }
            Self::InvalidTablesResponse => f.write_str("message does not hold news of tables"),
            Self::InvalidTablesRequest => f.write_str("message is not a question for tables"),
            Self::Protocol { found } => write!(f, "message has protocol version {found}"),
            Self::Size { found, max, part } => {
                write!(f, "message has {found} {part}, at most {max} are allowed")
            }
        }
    }
}

impl std::error::Error for MessageError {}
