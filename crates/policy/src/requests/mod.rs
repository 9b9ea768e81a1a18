//! The states of a request: queueing, claims of idempotency keys, attempts, retries and the
//! final outcome.

use super::*;

mod arrival;
mod attempt_end;
mod attempt_failure;
mod attempts;
mod claim_request;
mod claim_result;
mod claims;
mod outcome;
mod refusal;
mod refusal_reason;
mod refusing;
mod request;
mod resuming;
mod retry_budgets;
mod send_inputs;
mod settlement;
mod stored_response;
mod target;
mod waste_cause;

pub use {
    arrival::{Arrival, PrefixHash, Repeatability, RoutedRequest},
    attempt_end::AttemptEnd,
    claim_request::ClaimRequest,
    claim_result::ClaimResult,
    outcome::{Outcome, OutcomeEnd},
    refusal::Refusal,
    refusal_reason::RefusalReason,
    send_inputs::SendInputs,
    settlement::Settlement,
    stored_response::StoredResponse,
    target::Target,
    waste_cause::WasteCause,
};

pub(crate) use {
    attempt_failure::AttemptFailure,
    claims::push_settlement,
    refusing::push_refusal,
    request::{Claiming, Queued, Request, RequestFacts, Running, Stage},
    retry_budgets::RetryBudgets,
};
