use super::*;

text_name!(
    /// Id of a team, the customer for whom a request is made.
    TeamId,
    "team"
);
