//! A leaving upstream gets no new requests, whichever source announces it first.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {site::Site, store::ListedState};

/// Waits until the host knows that the engine is leaving, then checks that the engine gets no
/// further requests.
async fn assert_gets_no_new_requests(site: &Site, engine: &str) {
    let id: types::UpstreamId = engine.parse().unwrap();
    site.until("known to be leaving", |site| {
        let status = site.host().status();
        let configured = status.version == Some(types::ConfigVersion::new(2));
        status.leaving.contains(&id) || configured
    })
    .await;
    for round in 0..10 {
        assert!(
            !received_request_in_round(site, engine, round).await,
            "{engine} got work"
        );
    }
}

async fn received_request_in_round(site: &Site, engine: &str, round: u32) -> bool {
    for number in 0..6 {
        let tag = format!("r{round}n{number}");
        site.ask("question")
            .tagged(&tag)
            .output_tokens(1)
            .send()
            .await
            .assert_whole(&tag, 1);
    }
    let prefix = format!("r{round}n");
    let runs = site.log.runs();
    runs.iter()
        .any(|run| run.upstream == engine && run.tag.starts_with(&prefix))
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_by_the_platforms_list() {
    let site = Site::with_engines(2).start().await;
    let id = "engine-0".parse().unwrap();
    site.platform.list_upstream(id, ListedState::Leaving);
    assert_gets_no_new_requests(&site, "engine-0").await;
}

/// Guards against a newly started host sending requests to an engine that is already leaving.
/// The host reads the platform's list before the configuration that names the engine. If the
/// host applies the list only to the engines known at that moment, the state is lost.
#[tokio::test(flavor = "multi_thread")]
async fn announced_before_the_host_started() {
    let mut site = Site::with_engines(2).start().await;
    site.stop_host().await;
    let id = "engine-0".parse().unwrap();
    site.platform.list_upstream(id, ListedState::Leaving);
    site.start_host().await;
    assert_gets_no_new_requests(&site, "engine-0").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_by_its_own_load_report() {
    let site = Site::with_engines(2).start().await;
    site.break_engine(0, |faults| faults.leaving = true);
    assert_gets_no_new_requests(&site, "engine-0").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_by_the_configuration() {
    let site = Site::with_engines(2).start().await;
    let long = site
        .ask("question")
        .tagged("long")
        .output_tokens(3_000)
        .spawn();
    let operations = serde_json::json!([{"op": "remove", "path": "/upstreams/engine-0"}]);
    let patch = config::Patch {
        author: "tests".to_string(),
        base: types::ConfigVersion::new(1),
        id: "remove".to_string(),
        operations: serde_json::from_value(operations).unwrap(),
    };
    site.store().submit(&patch).await.unwrap();
    assert_gets_no_new_requests(&site, "engine-0").await;
    // The request that already runs on the engine is not cut off.
    long.await.unwrap().assert_whole("long", 3_000);
}
