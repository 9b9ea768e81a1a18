use super::*;

text_id!(
    /// A team: the customer that a request is made for.
    TeamId,
    "team"
);
