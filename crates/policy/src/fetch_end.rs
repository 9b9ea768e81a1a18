/// The end of a configuration fetch from another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchEnd {
    /// The other host is sending its configuration to other hosts and has no capacity left.
    Busy,
    /// There was no answer, or the answer was invalid.
    Failed,
    /// The configuration was received.
    Received,
    /// The other host has no newer configuration.
    NoneNewer,
}
