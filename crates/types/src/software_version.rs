use super::*;

/// Maximum length of a software version, in bytes.
const MAX_LEN: usize = 200;

/// Version of the software that an upstream runs. Versions have no order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct SoftwareVersion(String);

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        text.to_string().try_into()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseValueError;

    fn try_from(text: String) -> Result<Self, ParseValueError> {
        if text.len() > MAX_LEN {
            return Err(ParseValueError::new("software version", &text));
        }
        Ok(Self(text))
    }
}
