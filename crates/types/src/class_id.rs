use super::*;

text_id!(
    /// Id of a request class, which defines latency targets and a tier.
    ClassId,
    "class"
);
