//! At-most-once requests: idempotency keys are stored in the platform's table, and the run log
//! of the stand-in service shows how often each request ran.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    site::{Ask, Site},
    standin::PlatformFaults,
    std::time::Duration,
};

async fn site() -> Site {
    Site::with_engines(1).and_service("orders").start().await
}

fn order<'a>(site: &'a Site, tag: &str) -> Ask<'a> {
    site.ask("order")
        .at_service("orders")
        .tagged(tag)
        .with_key("key-1")
}

/// Repeats the request until the table no longer reports the first one as in progress.
async fn replayed(site: &Site, tag: &str) -> site::Answer {
    loop {
        let answer = order(site, tag).send().await;
        let in_progress = answer.status == 409 && answer.code() == "request_in_progress";
        if !in_progress {
            return answer;
        }
        assert_eq!(answer.verdict(), "may-have-run");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_and_body_gets_the_stored_answer() {
    let site = site().await;
    let first = order(&site, "o").send().await;
    assert_eq!(
        (first.status, first.verdict(), first.replayed),
        (200, "ran", false)
    );
    let second = replayed(&site, "o").await;
    assert_eq!(
        (second.status, second.verdict(), second.replayed),
        (200, "ran", true)
    );
    assert_eq!(first.body, second.body);
    assert_eq!(site.log.count("o"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_with_another_body_is_refused() {
    let site = site().await;
    order(&site, "o").send().await;
    let answer = order(&site, "other").send().await;
    assert_eq!(answer.refusal(), (422, "idempotency_key_reused", "not-run"));
    assert_eq!(site.log.count("other"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_of_another_team_is_another_request() {
    let site = site().await;
    order(&site, "o").send().await;
    let answer = order(&site, "o").with_team("guild").send().await;
    assert_eq!((answer.status, answer.replayed), (200, false));
    assert_eq!(site.log.count("o"), 2);
}

/// Guards against running concurrent requests with the same key more than once. Several claims
/// of one key can be written in one call to the table. A table may check the conditions of all
/// writes before it carries out the first one, and then grants every claim.
#[tokio::test(flavor = "multi_thread")]
async fn many_at_once_with_one_key_run_once() {
    let site = site().await;
    site.break_service(|faults| faults.delay_ms = 50);
    let asks: Vec<_> = (0..20).map(|_| order(&site, "o").spawn()).collect();
    for ask in asks {
        let answer = ask.await.unwrap();
        assert!(matches!(answer.status, 200 | 409), "{answer:?}");
    }
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against a second run, such as a confirmation sent twice, after a host is replaced.
/// The caller's retry reaches the new host, which does not know the key if the first host kept
/// the key only in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_outlives_its_host() {
    let mut site = site().await;
    let first = order(&site, "o").send().await;
    site.stop_host().await;
    site.start_host().await;
    let second = order(&site, "o").send().await;
    assert_eq!((second.status, second.replayed), (200, true));
    assert_eq!(first.body, second.body);
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against a retry that runs the request again or never gets the answer. The caller
/// disconnects during a keyed request and retries it. Both failures occur if the host cancels
/// the first run when the caller disconnects.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_run_goes_on_without_its_caller() {
    let site = site().await;
    site.break_service(|faults| faults.delay_ms = 100);
    let ask = order(&site, "o").spawn();
    site.until("it runs", |site| site.log.count("o") == 1).await;
    ask.abort();
    let answer = replayed(&site, "o").await;
    assert_eq!((answer.status, answer.replayed), (200, true));
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against a key that is refused forever, and against a request that runs twice. The
/// table writes the claim but its response is lost. The host must not treat the lost response
/// as a failed write or the stored claim as another request's claim.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_is_read_back() {
    let site = site().await;
    let lose = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    site.platform.set_faults(lose);
    let answer = order(&site, "o").send().await;
    assert_eq!((answer.status, answer.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against a key that is refused forever, and against a request that runs twice, when
/// the claim's write never reaches the table.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_lost_on_its_way_sends_nothing() {
    let site = site().await;
    let lose = PlatformFaults {
        lose_writes: 1,
        ..PlatformFaults::default()
    };
    site.platform.set_faults(lose);
    let answer = order(&site, "o").send().await;
    assert_eq!(answer.refusal(), (503, "store_unavailable", "not-run"));
    assert_eq!(site.log.count("o"), 0);
    // The key can be used again: the lost claim was released.
    let answer = replayed(&site, "o").await;
    assert_eq!((answer.status, answer.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against refusing keyed requests during a short outage of the store, and against
/// keyed requests that hold slots which other requests wait for. The store is down while a
/// keyed request has a slot; a failed claim must not end the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_waits_out_a_short_outage() {
    let site = site().await;
    site.platform.set_faults(down());
    let ask = order(&site, "o").spawn();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.log.count("o"), 0);
    // A request without a key needs no claim and is served during the outage.
    let unkeyed = site
        .ask("order")
        .at_service("orders")
        .tagged("u")
        .send()
        .await;
    assert_eq!((unkeyed.status, unkeyed.verdict()), (200, "ran"));
    site.platform.set_faults(PlatformFaults::default());
    let answer = ask.await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}

fn down() -> PlatformFaults {
    PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_is_refused_as_not_run_in_a_long_outage() {
    let site = Site::with_engines(1)
        .and_service("orders")
        .document(|document| {
            document["classes"]["order"]["deadline_ms"] = 500.into();
        })
        .start()
        .await;
    site.platform.set_faults(down());
    let answer = order(&site, "o").send().await;
    assert_eq!(answer.refusal(), (503, "store_unavailable", "not-run"));
    assert_eq!(site.log.count("o"), 0);
}

/// Guards against running an order twice after a cut connection. The service runs the call and
/// cuts the connection, and the caller retries with the same key. A second run occurs if the
/// host releases the key although the outcome of the first run is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_an_unknown_outcome_is_never_run_again() {
    let site = site().await;
    site.break_service(|faults| faults.reset_after_run = true);
    let first = order(&site, "o").send().await;
    assert_eq!(first.refusal(), (502, "upstream_failed", "may-have-run"));
    site.break_service(|faults| faults.reset_after_run = false);
    let second = replayed(&site, "o").await;
    assert_eq!(second.refusal(), (409, "outcome_unknown", "may-have-run"));
    assert_eq!(site.log.count("o"), 1);
}

/// A key whose attempt certainly did not run is released and can be used again.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_did_not_run_is_released() {
    let mut site = site().await;
    let address = site.services[0].address();
    site.services.remove(0).stop().await;
    let first = order(&site, "o").send().await;
    assert_eq!(first.refusal(), (502, "upstream_failed", "not-run"));
    let service = standin::ServiceStandin::start(address, "orders", site.log.clone());
    site.services.push(service.await.unwrap());
    let second = loop {
        let answer = replayed(&site, "o").await;
        if answer.status != 502 {
            break answer;
        }
    };
    assert_eq!((second.status, second.verdict()), (200, "ran"));
    assert_eq!(site.log.count("o"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_stream_is_replayed_as_a_whole() {
    let site = site().await;
    let ask = || {
        site.ask("question")
            .tagged("s")
            .output_tokens(5)
            .with_key("key-s")
    };
    ask().send().await.assert_whole("s", 5);
    let replay = loop {
        let answer = ask().send().await;
        if answer.status != 409 {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(replay.replayed);
    assert!(replay.body.contains("s:0 ") && replay.body.contains("s:4 "));
    assert!(replay.body.ends_with("data: [DONE]\n\n"), "{}", replay.body);
    assert_eq!(site.log.count("s"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_too_large_to_keep_is_reported_as_ran() {
    let site = Site::with_engines(1)
        .and_service("orders")
        .settings(|settings| settings.limits.max_answer_bytes = types::ByteSize::new(5))
        .start()
        .await;
    let first = order(&site, "o").send().await;
    assert_eq!(first.status, 200);
    let second = replayed(&site, "o").await;
    assert_eq!(second.refusal(), (409, "answer_not_kept", "ran"));
    assert_eq!(site.log.count("o"), 1);
}
