//! Broken streams are resumed if the engine supports it, and otherwise end with an error that
//! says whether the request may have run.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use site::Site;

/// Guards against answers that break off or repeat their start. The connection to the engine is
/// cut after some events. Without resumption the answer is lost or must be computed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_goes_on_where_it_stopped() {
    let site = Site::with_engines(1).start().await;
    site.break_engine(0, |faults| faults.break_after_events = Some(7));
    let answer = site
        .ask("question")
        .tagged("a")
        .output_tokens(30)
        .send()
        .await;
    answer.assert_whole("a", 30);
    assert_eq!(site.log.count("a"), 1, "it was computed again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_ends_with_the_verdict() {
    let site = Site::with_engines(1).start().await;
    let ask = site
        .ask("question")
        .tagged("a")
        .output_tokens(2_000)
        .spawn();
    site.until("it runs", |site| site.engines[0].running() == 1)
        .await;
    // A crashed engine loses the state of all its streams.
    site.break_engine(0, |faults| faults.crashed = true);
    let answer = ask.await.unwrap();
    assert!(!answer.ended, "a cut answer has an end mark");
    assert_eq!(
        (answer.code(), answer.verdict()),
        ("upstream_failed", "may-have-run")
    );
    assert_eq!(site.log.count("a"), 1);
}
