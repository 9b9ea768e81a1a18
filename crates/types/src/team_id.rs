use super::*;

text_id!(
    /// Id of a team, the customer for whom a request is made.
    TeamId,
    "team"
);
