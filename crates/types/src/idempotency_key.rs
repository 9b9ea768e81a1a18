use super::*;

/// Longest key that is accepted, in bytes.
const MAX_KEY_LEN: usize = 255;

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
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_LEN || !visible {
            return Err(ParseQuantityError::new("idempotency key", text));
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
    type Error = ParseQuantityError;

    fn try_from(text: String) -> Result<Self, ParseQuantityError> {
        text.parse()
    }
}
