use super::*;

text_id!(
    /// Id of a model that engines serve.
    ModelId,
    "model"
);
