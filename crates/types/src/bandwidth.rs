use super::*;

/// Speed of a network link in megabits per second, always above zero and finite.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct Bandwidth(f64);

const BITS_PER_MEGABIT: f64 = 1_000_000.0;

const BITS_PER_BYTE: f64 = 8.0;

impl Bandwidth {
    /// Creates a bandwidth; `None` unless `raw` is finite and above zero.
    pub fn megabits_per_s(raw: f64) -> Option<Self> {
        (raw.is_finite() && raw > 0.0).then_some(Self(raw))
    }

    /// Megabits per second.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Milliseconds that the link needs to transfer `bytes`.
    pub fn millis_for(self, bytes: f64) -> f64 {
        bytes * BITS_PER_BYTE / (self.0 * BITS_PER_MEGABIT) * 1_000.0
    }
}

impl Display for Bandwidth {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0)
    }
}

impl FromStr for Bandwidth {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        text.strip_suffix("Mbit/s")
            .unwrap_or(text)
            .parse()
            .ok()
            .and_then(Self::megabits_per_s)
            .ok_or_else(|| ParseValueError::new("bandwidth", text))
    }
}

impl From<Bandwidth> for f64 {
    fn from(bandwidth: Bandwidth) -> f64 {
        bandwidth.0
    }
}

impl TryFrom<f64> for Bandwidth {
    type Error = ParseValueError;

    fn try_from(raw: f64) -> Result<Self, ParseValueError> {
        Self::megabits_per_s(raw).ok_or_else(|| ParseValueError::new("bandwidth", &raw.to_string()))
    }
}
