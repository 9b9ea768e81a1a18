use super::*;

const REASONS: [RefusalReason; 24] = [
    RefusalReason::AnswerNotKept,
    RefusalReason::ClassNotAllowed,
    RefusalReason::ConfigurationStale,
    RefusalReason::CrashesUpstreams,
    RefusalReason::DeadlinePassed,
    RefusalReason::DeadlineUnreachable,
    RefusalReason::InProgress,
    RefusalReason::KeyReused,
    RefusalReason::NoUpstream,
    RefusalReason::NotReady,
    RefusalReason::OutcomeUnknown,
    RefusalReason::QueueFull,
    RefusalReason::StoreUnavailable,
    RefusalReason::TeamConcurrency,
    RefusalReason::TeamRate,
    RefusalReason::UnknownClass,
    RefusalReason::UnknownKey,
    RefusalReason::UnknownModel,
    RefusalReason::UnknownRoute,
    RefusalReason::UnknownService,
    RefusalReason::UpstreamBackoff,
    RefusalReason::UpstreamFailed,
    RefusalReason::UpstreamLimited,
    RefusalReason::UpstreamsFull,
];

/// Guards against a status that says the request did not run although it may have run.
#[test]
fn a_request_that_may_have_run_never_gets_a_not_run_status() {
    for reason in REASONS {
        for verdict in [Verdict::MayHaveRun, Verdict::Ran] {
            let refusal = Refusal {
                retry_after: None,
                reason,
                verdict,
            };
            let status = relayed_refusal_answer(&refusal).status();
            assert!(
                ![408, 421, 429, 503].contains(&status.as_u16()),
                "{reason:?} {status}"
            );
        }
    }
}

/// Guards against reporting a request as not run when its task ended without an answer.
#[test]
fn a_lost_request_may_have_run() {
    let answer = lost_request_answer();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(answer.headers()[VERDICT_HEADER], "may-have-run");
}
