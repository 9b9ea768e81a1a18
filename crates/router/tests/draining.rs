//! A planned stop of a host does not cut off any request.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    http_body_util::Full,
    hyper::Request,
    site::Site,
    standin::{EngineOptions, PlatformFaults},
    std::time::Duration,
};

#[tokio::test(flavor = "multi_thread")]
async fn streams_and_queued_requests_end_before_the_host() {
    let one = |options: &mut EngineOptions| options.slots = 1;
    let mut site = Site::with_engines(1).engine_options(one).start().await;
    let asks: Vec<_> = (0..4)
        .map(|number| {
            site.ask("question")
                .tagged(&format!("t{number}"))
                .output_tokens(150)
                .spawn()
        })
        .collect();
    site.until("one runs", |site| site.engines[0].running() == 1)
        .await;
    site.until("others wait", |site| site.host().status().queued == 3)
        .await;
    site.stop_host().await;
    for (number, ask) in asks.into_iter().enumerate() {
        ask.await.unwrap().assert_whole(&format!("t{number}"), 150);
    }
}

/// Guards against a key that stays in progress forever after a planned stop. The host stops
/// right after it answered, while the store is down. The final state of the key is still in the
/// host's memory and is lost if the host ends before writing it.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_settled_before_the_host_ends() {
    let mut site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.delay_ms = 50);
    let ask = site
        .ask("order")
        .at_service("orders")
        .tagged("o")
        .with_key("k")
        .spawn();
    site.until("it runs", |site| site.log.count("o") == 1).await;
    site.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    assert_eq!(ask.await.unwrap().status, 200);
    let host = site.host.take().unwrap();
    let stop = tokio::task::spawn_blocking(move || host.drain().stop().unwrap());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!stop.is_finished(), "the host ended with an open claim");
    site.platform.set_faults(PlatformFaults::default());
    stop.await.unwrap();
    site.start_host().await;
    let again = site
        .ask("order")
        .at_service("orders")
        .tagged("o")
        .with_key("k")
        .send()
        .await;
    assert_eq!((again.status, again.replayed), (200, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_host_fails_its_readiness_check_and_still_answers() {
    let mut site = Site::with_engines(1)
        .settings(|settings| settings.balancer_pause_ms = 300)
        .start()
        .await;
    let ready = || Request::get("/readyz").body(Full::default()).unwrap();
    assert_eq!(site.operator(ready()).await.0, 200);
    let address = site.address();
    let operator = site.host().operator_address();
    let request = site.ask("question").tagged("late").request();
    let host = site.host.take().unwrap();
    let stop = tokio::task::spawn_blocking(move || host.drain().stop().unwrap());
    let deadline = tokio::time::Instant::now() + site::WAIT_TIMEOUT;
    while site::exchange(operator, ready()).await.status() == 200 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "it never failed its check"
        );
    }
    let answer = site::Answer::read(site::exchange(address, request).await).await;
    answer.assert_whole("late", 4);
    stop.await.unwrap();
}
