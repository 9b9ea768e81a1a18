//! Large answers between hosts of a failure domain: how many a host sends at a time, and
//! which host is asked next while one is busy.
//!
//! In: who asks, which answers ended. Out: whether one more is sent, and whom to ask.

use super::*;

mod transfer_search;
mod transfer_slots;

pub use {transfer_search::TransferSearch, transfer_slots::TransferSlots};
