use super::*;

text_id!(
    /// A request class, which carries latency targets and a tier.
    ClassId,
    "class"
);
