//! Large answers between hosts of a failure domain: how many a host sends at a time, and
//! which host is asked next while one is busy.
//!
//! In: who asks, which answers ended. Out: whether one more is sent, and whom to ask.

use super::*;

mod table_source_search;
mod table_transfer_slots;

pub use {table_source_search::TableSourceSearch, table_transfer_slots::TableTransferSlots};
