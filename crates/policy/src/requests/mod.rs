//! The life of a request: its attempts, retries and claims, and how it ends.

use super::*;

mod arrival;
mod attempt_end;
mod attempts;
mod claim_answer;
mod claim_request;
mod claims;
mod failure;
mod outcome;
mod refusal;
mod refusal_reason;
mod refusing;
mod request;
mod resuming;
mod retry_budgets;
mod send_inputs;
mod settlement;
mod stored_answer;
mod target;
mod waste;

pub use {
    arrival::{Arrival, PrefixHash, Repeatability, Routed},
    attempt_end::AttemptEnd,
    claim_answer::ClaimAnswer,
    claim_request::ClaimRequest,
    outcome::{Outcome, OutcomeEnd},
    refusal::Refusal,
    refusal_reason::RefusalReason,
    send_inputs::SendInputs,
    settlement::Settlement,
    stored_answer::StoredAnswer,
    target::Target,
    waste::WasteCause,
};

pub(crate) use {
    claims::settle,
    failure::Failure,
    request::{Claiming, Queued, Request, RequestFacts, Running, Stage},
    retry_budgets::RetryBudgets,
};
