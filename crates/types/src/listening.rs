/// Whether a process listens at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listening {
    /// No process listens: a connection is refused, or is closed immediately.
    No,
    /// Unknown: the address does not respond.
    Unknown,
    /// A process listens.
    Yes,
}
