use super::*;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A caller's `Idempotency-Key`: 1 to 255 visible ASCII characters, one for
/// each intent and the same on each retry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct IdempotencyKey(String);

impl Display for IdempotencyKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
            return Err(ParseValueError::new("idempotency key", text));
        }
        Ok(Self(text.to_string()))
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> String {
        key.0
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = ParseValueError;

    fn try_from(text: String) -> Result<Self, ParseValueError> {
        text.parse()
    }
}
