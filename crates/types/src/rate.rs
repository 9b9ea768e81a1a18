use super::*;

/// A rate in events per second, never negative and always finite.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; `None` if `raw` is negative or not finite.
    pub fn per_second(raw: f64) -> Option<Self> {
        (raw.is_finite() && raw >= 0.0).then_some(Self(raw))
    }

    /// Events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for Rate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        text.strip_suffix("/s")
            .unwrap_or(text)
            .parse()
            .ok()
            .and_then(Self::per_second)
            .ok_or_else(|| ParseValueError::new("rate", text))
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseValueError;

    fn try_from(raw: f64) -> Result<Self, ParseValueError> {
        Self::per_second(raw).ok_or_else(|| ParseValueError::new("rate", &raw.to_string()))
    }
}
