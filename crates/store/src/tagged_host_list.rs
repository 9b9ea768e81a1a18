use super::*;

/// The platform's list together with the tag by which it is known again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaggedHostList {
    /// The list.
    pub list: HostList,
    /// Its tag.
    pub tag: String,
}
