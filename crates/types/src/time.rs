use super::*;

/// A point in time on the monotonic clock of one host, in microseconds since an arbitrary start.
/// Times of different hosts must not be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Creates a time from microseconds since the start of the clock.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Duration since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time `ms` milliseconds later.
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(whole_us(span)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(whole_us(span)))
    }
}

/// Microseconds of a duration, at most the longest time that a [`Time`] can hold.
fn whole_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}
