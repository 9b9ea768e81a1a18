use super::*;

text_id!(
    /// A route of the shared configuration.
    RouteId,
    "route"
);
