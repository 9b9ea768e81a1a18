use super::*;

text_name!(
    /// Id of a model that engines serve.
    ModelId,
    "model"
);
