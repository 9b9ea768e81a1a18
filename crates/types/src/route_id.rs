use super::*;

text_id!(
    /// Id of a route in the shared configuration.
    RouteId,
    "route"
);
