use super::*;

text_name!(
    /// Id of a route in the shared configuration.
    RouteId,
    "route"
);
