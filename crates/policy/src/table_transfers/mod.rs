//! Transfers of tables between the hosts of a failure domain: how many large answers a host sends
//! at the same time, and which host is asked next while one is busy.
//!
//! Input: the hosts that ask, and the answers that were sent. Output: whether a host sends another
//! answer, and which host to ask.

use super::*;

mod table_source_search;
mod table_transfer_slots;

pub use {table_source_search::TableSourceSearch, table_transfer_slots::TableTransferSlots};
