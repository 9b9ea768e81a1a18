use super::*;

/// A span changed at random by up to a quarter either way, so that hosts which
/// started together do not call together for ever.
pub(crate) fn jittered(span: Duration) -> Duration {
    span.mul_f64(0.75 + 0.5 * rand::rng().random::<f64>())
}
