//! Deserializers for integer settings that an installation may write with a fraction.
//!
//! The fraction is rounded in the direction that respects the bound of the installation: upper
//! bounds are rounded down, lower bounds are rounded up.

use super::*;

/// Rounds an upper bound down.
pub(crate) fn floored<'a, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'a>,
    T: TryFrom<u64>,
{
    to_integer(f64::deserialize(deserializer)?.floor())
}

/// Rounds a lower bound up.
pub(crate) fn ceiled<'a, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'a>,
    T: TryFrom<u64>,
{
    to_integer(f64::deserialize(deserializer)?.ceil())
}

fn to_integer<T: TryFrom<u64>, E: serde::de::Error>(value: f64) -> Result<T, E> {
    let is_in_range = value.is_finite() && (0.0..=u64::MAX as f64).contains(&value);
    let number = is_in_range.then_some(value as u64);
    let number = number.and_then(|number| T::try_from(number).ok());
    number.ok_or_else(|| E::custom(format!("{value} is out of range")))
}
