use super::*;

text_name!(
    /// Id of a plain HTTP service that is not a model engine, such as a shop's order service.
    ServiceId,
    "service"
);
