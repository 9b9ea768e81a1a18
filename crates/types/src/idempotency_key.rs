use super::*;

/// Longest accepted key.
const MAX_KEY_BYTES: usize = 255;

/// The value of a caller's `Idempotency-Key` header: 1 to 255 visible ASCII characters. A caller
/// uses a new key for each operation and the same key for each retry of that operation.
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
