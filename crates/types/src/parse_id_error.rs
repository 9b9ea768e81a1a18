use super::*;

/// Longest accepted id.
const MAX_ID_BYTES: usize = 64;

/// Why a text is not a valid id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseIdError {
    /// The id contains a character outside `A-Z a-z 0-9 . _ -`.
    BadCharacter {
        /// The kind of id, such as `team`.
        kind: String,
        /// The first invalid character.
        character: char,
    },
    /// The id is empty or longer than 64 bytes.
    BadLength {
        /// The kind of id, such as `team`.
        kind: String,
        /// Length of the text in bytes.
        len: usize,
    },
    /// The start time in an upstream id is not a whole number of milliseconds.
    BadStartTime {
        /// The whole id.
        text: String,
    },
}

impl ParseIdError {
    pub(crate) fn check(kind: &str, text: &str) -> Result<(), Self> {
        if text.is_empty() || text.len() > MAX_ID_BYTES {
            return Err(Self::BadLength {
                kind: kind.to_string(),
                len: text.len(),
            });
        }
        match text.chars().find(|c| !is_id_character(*c)) {
            Some(character) => Err(Self::BadCharacter {
                kind: kind.to_string(),
                character,
            }),
            None => Ok(()),
        }
    }
}

fn is_id_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}

impl Display for ParseIdError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadCharacter { kind, character } => write!(
                f,
                "{kind} id holds {character:?}, expected letters, digits, `.`, `_` or `-`"
            ),
            Self::BadLength { kind, len } => {
                write!(
                    f,
                    "{kind} id is {len} bytes long, expected 1 to {MAX_ID_BYTES}"
                )
            }
            Self::BadStartTime { text } => {
                write!(f, "upstream id {text:?} has no whole number behind its `@`")
            }
        }
    }
}

impl std::error::Error for ParseIdError {}
