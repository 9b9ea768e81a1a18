use super::*;

text_name!(
    /// Id of a request class, which defines latency targets and a tier.
    ClassId,
    "class"
);
