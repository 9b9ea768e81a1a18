//! Parts of prompts that an engine fetches from another one instead of reading them.
//!
//! In: the engine chosen for a prompt, and what engines are known to have read. Out: the engine
//! from which it first fetches, if that is sooner than reading. Answers a document that more
//! callers ask for than one engine can serve, and streams whose engine was lost.

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
