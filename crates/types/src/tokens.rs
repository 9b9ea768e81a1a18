use super::*;

quantity!(
    /// A number of tokens.
    Tokens,
    u32,
    "token count"
);
