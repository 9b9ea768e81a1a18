//! The verdict tells a caller whether its request ran, for each kind of upstream failure. The
//! run log of the stand-ins shows whether the verdict is right.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use site::Site;

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_the_upstream_itself_is_not_run() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.refuse = true);
    let shorter = site.ask("order").at_service("orders").tagged("o").spawn();
    // The request stays queued, because a busy service may have capacity again.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(site.log.count("o"), 0);
    site.break_service(|faults| faults.refuse = false);
    let answer = shorter.await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against confirming an order twice. The service runs the call, and its connection is
/// cut before the response. A second run occurs if the router takes the cut connection for a
/// call that did not run and sends the call again.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_after_the_run_is_reported_and_not_retried() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.reset_after_run = true);
    let answer = site.order("o").await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "may-have-run"));
    assert_eq!(site.log.count("o"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_before_the_run_cannot_be_distinguished_from_one_after_it() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.reset_before_run = true);
    let answer = site.order("o").await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "may-have-run"));
    assert_eq!(site.log.count("o"), 0);
}

/// Guards against presenting half a confirmation as a whole one. The service sends half of its
/// response and the connection is cut. The failure occurs if the host forwards bytes before it
/// has the complete response.
#[tokio::test(flavor = "multi_thread")]
async fn half_an_answer_is_never_passed_on() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.half_answer = true);
    let answer = site.order("o").await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "may-have-run"));
    assert_eq!(site.log.count("o"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_error_may_have_run() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.status = Some(500));
    let answer = site.order("o").await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "may-have-run"));
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against calls that fail occasionally although the service is healthy, and against
/// calls that run twice. The service closes a keep-alive connection just as the next call takes
/// it from the pool. The HTTP library reports only that the call failed, so only a request that
/// the library hands back because it had not begun to write it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_keep_alive_connection_causes_no_second_run() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.close_after_answer = true);
    for number in 0..50 {
        let tag = format!("o{number}");
        let answer = site.order(&tag).await;
        match (answer.status, answer.verdict()) {
            (200, "ran") => assert_eq!(site.log.count(&tag), 1),
            (502, "may-have-run") => assert!(site.log.count(&tag) <= 1),
            other => panic!("{other:?} for {tag}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_is_gone_is_not_run_and_another_is_tried() {
    let mut site = Site::with_engines(2).start().await;
    site.engines.remove(0).stop().await;
    for number in 0..10 {
        let tag = format!("t{number}");
        site.ask("question")
            .tagged(&tag)
            .send()
            .await
            .assert_whole(&tag, 4);
        assert_eq!(site.log.count(&tag), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_upstream_gone_the_verdict_is_not_run() {
    let mut site = Site::with_engines(0).and_service("orders").start().await;
    site.services.remove(0).stop().await;
    let answer = site.order("o").await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "not-run"));
    assert!(answer.retry_after.is_some());
}

/// Guards against presenting a truncated answer as a whole one. The engine's stream ends without
/// a transport error but also without its end mark. The failure occurs if the end of the
/// connection is taken for the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_its_end_mark_is_not_whole() {
    let site = Site::with_engines(1)
        .document(|document| document["classes"]["question"]["idempotent"] = false.into())
        .start()
        .await;
    site.break_engine(0, |faults| faults.truncate_after_events = Some(0));
    let answer = site
        .ask("question")
        .tagged("a")
        .output_tokens(10)
        .send()
        .await;
    assert!(!answer.ended);
    assert_eq!(answer.verdict(), "may-have-run");
    assert_eq!(site.log.count("a"), 1, "it was run again");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_after_a_cut() {
    let site = Site::with_engines(2).start().await;
    site.break_engine(0, |faults| faults.reset_before_run = true);
    for number in 0..10 {
        let tag = format!("t{number}");
        site.ask("question")
            .tagged(&tag)
            .send()
            .await
            .assert_whole(&tag, 4);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_may_forbid_a_second_run() {
    let site = Site::with_engines(1).start().await;
    site.break_engine(0, |faults| faults.reset_before_run = true);
    let ask = site.ask("question").with_header("x-idempotent", "false");
    let answer = ask.send().await;
    assert_eq!(answer.refusal(), (502, "upstream_failed", "may-have-run"));
    assert_eq!(answer.retry_after, None, "a retry might run it twice");
}
