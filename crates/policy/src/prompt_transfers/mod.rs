//! Transfers of prompt parts between engines, in place of prefilling the parts again.
//!
//! Input: the engine that was chosen for a prompt, and the parts that engines are known to have
//! prefilled. Output: the engine from which the chosen engine first fetches parts, if that is
//! faster than prefilling them. This helps with a document that more callers ask about than one
//! engine can serve, and with streams whose engine was lost.

use super::*;

mod prompt_copies;
mod prompt_fetch;
mod prompt_tracking;
mod source_choice;
mod transfer_link;
mod transfer_speed;

pub(crate) use {
    prompt_copies::PromptCopies, prompt_fetch::PromptFetch, transfer_link::TransferLink,
    transfer_speed::TransferSpeed,
};
