use super::*;

quantity!(
    /// How often the installation's store was restored from an older copy; 0 if it does not tell.
    StoreEra,
    u32,
    "era of the store"
);
