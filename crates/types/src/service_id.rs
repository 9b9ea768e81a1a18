use super::*;

text_id!(
    /// A plain service beside the engines, such as the shop's order service.
    ServiceId,
    "service"
);
