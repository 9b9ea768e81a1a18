/// Why a response is not used as the response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mismatch {
    /// The body is encoded, which no upstream does.
    Encoded,
    /// Nothing shows that the response belongs to the request.
    NotOwn,
    /// The response is successful but lacks the signature of the upstream.
    Unsigned,
}

impl Mismatch {
    /// The text that is written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encoded => "encoded",
            Self::NotOwn => "not-own",
            Self::Unsigned => "unsigned",
        }
    }
}
