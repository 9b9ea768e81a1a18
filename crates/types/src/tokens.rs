use super::*;

quantity!(
    /// A number of model tokens.
    Tokens,
    u32,
    "token count"
);
