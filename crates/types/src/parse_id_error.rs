use super::*;

/// Longest accepted id.
const MAX_ID_BYTES: usize = 64;

/// Longest accepted name.
const MAX_NAME_BYTES: usize = 1_024;

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
    /// The id is empty or too long.
    BadLength {
        /// The kind of id, such as `team`.
        kind: String,
        /// Length of the text in bytes.
        len: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The start time in an upstream id is not a whole number of milliseconds.
    BadStartTime {
        /// The whole id.
        text: String,
    },
    /// The name contains a control character.
    ControlCharacter {
        /// The kind of id, such as `team`.
        kind: String,
        /// The first control character.
        character: char,
    },
}

impl ParseIdError {
    /// Checks a text id.
    pub(crate) fn check(kind: &str, text: &str) -> Result<(), Self> {
        Self::check_length(kind, text, MAX_ID_BYTES)?;
        match text.chars().find(|c| !is_id_character(*c)) {
            Some(character) => Err(Self::BadCharacter {
                kind: kind.to_string(),
                character,
            }),
            None => Ok(()),
        }
    }

    /// Checks a name given by an operator.
    pub(crate) fn check_name(kind: &str, text: &str) -> Result<(), Self> {
        Self::check_length(kind, text, MAX_NAME_BYTES)?;
        match text.chars().find(|c| c.is_control()) {
            Some(character) => Err(Self::ControlCharacter {
                kind: kind.to_string(),
                character,
            }),
            None => Ok(()),
        }
    }

    fn check_length(kind: &str, text: &str, max: usize) -> Result<(), Self> {
        if !text.is_empty() && text.len() <= max {
            return Ok(());
        }
        Err(Self::BadLength {
            kind: kind.to_string(),
            len: text.len(),
            max,
        })
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
            Self::BadLength { kind, len, max } => {
                write!(f, "{kind} id is {len} bytes long, expected 1 to {max}")
            }
            Self::BadStartTime { text } => {
                write!(f, "upstream id {text:?} has no whole number behind its `@`")
            }
            Self::ControlCharacter { kind, character } => {
                write!(f, "{kind} id holds the control character {character:?}")
            }
        }
    }
}

impl std::error::Error for ParseIdError {}
