use super::*;

/// Changes a duration at random by up to 25% in either direction, so that hosts that started at the
/// same time do not keep sending their requests at the same time.
pub(crate) fn jittered(span: Duration) -> Duration {
    span.mul_f64(0.75 + 0.5 * rand::rng().random::<f64>())
}
