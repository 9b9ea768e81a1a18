use super::*;

text_id!(
    /// A model that engines serve.
    ModelId,
    "model"
);
