use super::*;

/// A moment on one host's monotonic clock, in microseconds since an arbitrary
/// start. Moments of different hosts are never compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// A moment from microseconds since the start of the clock.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// A moment from milliseconds since the start of the clock.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero if `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `ms` milliseconds later.
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}
