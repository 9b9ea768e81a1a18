use super::*;

/// A service tier: 0 is the most urgent, 5 the least.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub struct Tier(u8);

impl Tier {
    /// Number of tiers.
    pub const COUNT: usize = 6;

    /// The most urgent tier.
    pub const MOST_URGENT: Tier = Tier(0);

    /// Every tier, most urgent first.
    pub fn all() -> impl DoubleEndedIterator<Item = Tier> {
        (0..Self::COUNT as u8).map(Tier)
    }

    /// Creates a tier from its number, 0 to 5; `None` for any other number.
    pub const fn new(number: u8) -> Option<Self> {
        if (number as usize) < Self::COUNT {
            Some(Self(number))
        } else {
            None
        }
    }

    /// The tier as an index into an array of [`Tier::COUNT`] elements.
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Whether requests of this tier take precedence over requests of `other`.
    pub const fn is_more_urgent_than(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl Display for Tier {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for Tier {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        text.parse()
            .ok()
            .and_then(Self::new)
            .ok_or_else(|| ParseValueError::new("tier (0 to 5)", text))
    }
}

impl From<Tier> for u8 {
    fn from(tier: Tier) -> u8 {
        tier.0
    }
}

impl TryFrom<u8> for Tier {
    type Error = ParseValueError;

    fn try_from(number: u8) -> Result<Self, ParseValueError> {
        Self::new(number).ok_or_else(|| ParseValueError::new("tier (0 to 5)", &number.to_string()))
    }
}
