/// How the question to another host for its configuration ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchEnd {
    /// The host is handing it to others.
    Busy,
    /// No answer, or none that can be used.
    Failed,
    /// It was handed over.
    Received,
    /// The host has none that is newer.
    NoneNewer,
}
