use super::*;

/// Longest id that is accepted, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Why a text is not an id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseIdError {
    /// A character outside `A-Z a-z 0-9 . _ -`.
    BadCharacter {
        /// The kind of id, such as `team`.
        kind: String,
        /// The offending character.
        character: char,
    },
    /// No characters, or more than 64.
    BadLength {
        /// The kind of id, such as `team`.
        kind: String,
        /// Length found, in bytes.
        len: usize,
    },
    /// The start of an upstream is not a whole number of milliseconds.
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
