//! Responses that the host generates itself.

use super::*;

/// Body of a response to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// Upper limit of a `Retry-After` header, in seconds.
const MAX_RETRY_AFTER_S: u64 = 3_600;

/// `Retry-After` for a request body that exceeds the memory limit, in seconds: about the time in
/// which requests with large bodies finish.
const BODY_RETRY_AFTER_S: &str = "1";

/// Builds a response with a complete body.
pub(crate) fn text_answer(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Builds a body that is completely in memory.
pub(crate) fn whole_body(body: impl Into<Bytes>) -> AnswerBody {
    let body = Full::new(body.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Builds an error response in the format that OpenAI-style clients expect.
pub(crate) fn error_answer(
    status: StatusCode,
    code: &str,
    message: &str,
    verdict: Verdict,
) -> Response<AnswerBody> {
    let body = error_json(code, message, verdict);
    let mut response = text_answer(status, "application/json", body);
    set_verdict(&mut response, verdict);
    response
}

/// Formats the JSON body of an error.
pub(crate) fn error_json(code: &str, message: &str, verdict: Verdict) -> String {
    let error = json!({
        "code": code,
        "message": message,
        "type": "rhubarbcove_error",
        "verdict": verdict,
    });
    json!({ "error": error }).to_string()
}

/// Builds the response to a request whose body cannot be used.
pub(crate) fn body_error_answer(error: &BodyError) -> Response<AnswerBody> {
    let status = error.status();
    let mut response = error_answer(status, error.code(), &error.to_string(), Verdict::NotRun);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let soon = HeaderValue::from_static(BODY_RETRY_AFTER_S);
        response.headers_mut().insert(RETRY_AFTER, soon);
    }
    response
}

/// Builds the response to a refused request.
pub(crate) fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let reason = refusal.reason;
    let mut response = error_answer(
        refusal_status(reason),
        reason.code(),
        &reason.to_string(),
        refusal.verdict,
    );
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        let seconds = seconds.clamp(1, MAX_RETRY_AFTER_S);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// Adds the header that says whether the request ran.
pub(crate) fn set_verdict<B>(response: &mut Response<B>, verdict: Verdict) {
    response.headers_mut().insert(
        HeaderName::from_static(VERDICT_HEADER),
        HeaderValue::from_static(verdict.as_str()),
    );
}

/// Builds the response to a request whose task ended without an answer. Whether the request ran is
/// unknown.
pub(crate) fn lost_request_answer() -> Response<AnswerBody> {
    let message = "the host lost track of the request";
    let verdict = Verdict::MayHaveRun;
    error_answer(StatusCode::BAD_GATEWAY, "lost_track", message, verdict)
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::AnswerNotKept
        | RefusalReason::InProgress
        | RefusalReason::OutcomeUnknown => StatusCode::CONFLICT,
        RefusalReason::ClassNotAllowed => StatusCode::FORBIDDEN,
        RefusalReason::ConfigurationStale
        | RefusalReason::CrashesUpstreams
        | RefusalReason::DeadlinePassed
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::Draining
        | RefusalReason::NoTimeLeft
        | RefusalReason::NoUpstream
        | RefusalReason::NotReady
        | RefusalReason::PromptPartCrashesUpstreams
        | RefusalReason::QueueFull
        | RefusalReason::StoreUnavailable
        | RefusalReason::StreamVersionGone
        | RefusalReason::StreamVersionUnknown
        | RefusalReason::UpstreamBackoff
        | RefusalReason::UpstreamLimited
        | RefusalReason::UpstreamsFull => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::TeamConcurrency | RefusalReason::TeamRate => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::UnknownClass => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
        RefusalReason::UnknownModel
        | RefusalReason::UnknownRoute
        | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::UpstreamFailed => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the response to a refused relayed request. The status says that the request did not run
/// only if the request has not run and never will.
pub(crate) fn relayed_refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let reason = refusal.reason;
    let status = match (refusal_status(reason), refusal.verdict) {
        (StatusCode::BAD_GATEWAY, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (status, Verdict::NotRun) => status,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        (status, _) => status,
    };
    let message = reason.to_string();
    let mut response = error_answer(status, reason.code(), &message, refusal.verdict);
    if let Some(retry_after) = refusal.retry_after
        && status == StatusCode::SERVICE_UNAVAILABLE
    {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

#[cfg(test)]
#[path = "../tests/unit/answers.rs"]
mod tests;
