use super::*;

/// The platform's list with its entity tag, by which an unchanged list is recognized.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaggedHostList {
    /// The list.
    pub list: HostList,
    /// The entity tag.
    pub tag: String,
}
