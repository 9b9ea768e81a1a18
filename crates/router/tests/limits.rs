//! Rate and concurrency limits of teams, and the limit of the host's queue.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {site::Site, standin::EngineOptions};

#[tokio::test(flavor = "multi_thread")]
async fn a_team_over_its_rate_learns_when_to_return() {
    let site = Site::with_engines(1)
        .document(|document| {
            document["teams"]["shop"]["max_requests_per_s"] = 0.5.into();
        })
        .start()
        .await;
    site.ask("question")
        .tagged("first")
        .send()
        .await
        .assert_whole("first", 4);
    let answer = site.ask("question").send().await;
    assert_eq!(answer.refusal(), (429, "team_rate_limit", "not-run"));
    assert!(matches!(answer.retry_after, Some(1 | 2)), "{answer:?}");
    site.ask("question")
        .with_team("guild")
        .send()
        .await
        .assert_whole("tag", 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_over_its_concurrency_is_refused_until_one_ends() {
    let site = Site::with_engines(1)
        .document(|document| {
            document["teams"]["shop"]["max_concurrent"] = 1.into();
        })
        .start()
        .await;
    let long = site
        .ask("question")
        .tagged("long")
        .output_tokens(300)
        .spawn();
    site.until("it runs", |site| site.engines[0].running() == 1)
        .await;
    let answer = site.ask("question").send().await;
    assert_eq!(answer.refusal(), (429, "team_concurrency_limit", "not-run"));
    long.await.unwrap().assert_whole("long", 300);
    site.ask("question").send().await.assert_whole("tag", 4);
}

/// Guards against refusing an alert while summaries wait in the queue. An urgent request arrives
/// when the queue is full of less urgent requests. The failure occurs if a full queue always
/// refuses the newest request.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_drops_the_least_urgent_request() {
    let one = |options: &mut EngineOptions| options.slots = 1;
    let site = Site::with_engines(1)
        .engine_options(one)
        .settings(|settings| settings.limits.max_queued = 2)
        .start()
        .await;
    let running = site
        .ask("question")
        .tagged("running")
        .output_tokens(400)
        .spawn();
    site.until("it runs", |site| site.engines[0].running() == 1)
        .await;
    let first = site.ask("description").tagged("first").spawn();
    site.until("it waits", |site| site.host().status().queued == 1)
        .await;
    let second = site.ask("description").tagged("second").spawn();
    site.until("both wait", |site| site.host().status().queued == 2)
        .await;
    let third = site.ask("description").tagged("third").send().await;
    assert_eq!(third.refusal(), (503, "queue_full", "not-run"));
    let urgent = site.ask("question").tagged("urgent").spawn();
    let given_up = second.await.unwrap();
    assert_eq!(given_up.refusal(), (503, "queue_full", "not-run"));
    urgent.await.unwrap().assert_whole("urgent", 4);
    running.await.unwrap().assert_whole("running", 400);
    first.await.unwrap().assert_whole("first", 4);
    assert_eq!(site.log.count("second") + site.log.count("third"), 0);
}
