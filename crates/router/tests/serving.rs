//! Requests that pass through one host without faults.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use site::Site;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_reaches_its_caller_whole() {
    let site = Site::with_engines(2).start().await;
    let answer = site
        .ask("question")
        .tagged("a")
        .output_tokens(20)
        .send()
        .await;
    answer.assert_whole("a", 20);
    assert_eq!(site.log.count("a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_says_that_it_ran() {
    let site = Site::with_engines(1).start().await;
    let answer = site
        .ask("question")
        .tagged("a")
        .output_tokens(5)
        .without_streaming()
        .send()
        .await;
    answer.assert_whole("a", 5);
    assert_eq!(answer.verdict(), "ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_get_their_own_answers() {
    let site = Site::with_engines(2).start().await;
    let asks: Vec<_> = (0..40)
        .map(|number| {
            let tag = format!("t{number}");
            site.ask("question")
                .tagged(&tag)
                .output_tokens(1 + number % 7)
                .spawn()
        })
        .collect();
    for (number, ask) in asks.into_iter().enumerate() {
        let tokens = 1 + number as u32 % 7;
        ask.await
            .unwrap()
            .assert_whole(&format!("t{number}"), tokens);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_is_called_through_its_path() {
    let site = Site::with_engines(1).and_service("orders").start().await;
    let answer = site.order("o").await;
    assert_eq!((answer.status, answer.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}
