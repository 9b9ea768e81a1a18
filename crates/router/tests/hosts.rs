//! Several hosts of one failure domain coordinate with each other.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    config::Patch,
    serde_json::json,
    site::Site,
    standin::{EngineOptions, PlatformFaults},
    std::{collections::BTreeSet, time::Duration},
    types::prelude::*,
};

fn patch(base: u64) -> Patch {
    let operations = json!([{"op": "replace", "path": "/trial/max_slot_share", "value": 0.25}]);
    Patch {
        author: "tests".to_string(),
        base: ConfigVersion::new(base),
        id: format!("patch-{base}"),
        operations: serde_json::from_value(operations).unwrap(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_agree_on_one_coordinator() {
    let site = Site::with_engines(2).and_hosts(3).start().await;
    site.until("one coordinator", |site| {
        let coordinators: BTreeSet<HostId> =
            site.hosts().map(|host| host.status().coordinator).collect();
        coordinators.len() == 1
    })
    .await;
}

/// Guards against confirming an order twice. The balancer sends the caller's retry to another
/// host while the first one still runs the request. The failure occurs if each host knows only
/// its own requests.
#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_three_hosts_runs_once() {
    let site = Site::with_engines(0)
        .and_service("orders")
        .and_hosts(3)
        .start()
        .await;
    site.break_service(|faults| faults.delay_ms = 30);
    for round in 0..10 {
        let tag = format!("o{round}");
        let asks: Vec<_> = (0..12)
            .map(|number| {
                let ask = site
                    .ask("order")
                    .at_service("orders")
                    .tagged(&tag)
                    .with_key(&tag);
                ask.at_host(number % 3).spawn()
            })
            .collect();
        for ask in asks {
            let answer = ask.await.unwrap();
            assert!(matches!(answer.status, 200 | 409), "{answer:?}");
        }
        assert_eq!(site.log.count(&tag), 1, "{tag}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_patch_is_soon_in_force_on_all_hosts() {
    let site = Site::with_engines(1).and_hosts(3).start().await;
    let version = site.store().submit(&patch(1)).await.unwrap();
    site.until("in force", |site| {
        site.hosts()
            .all(|host| host.status().version == Some(version))
    })
    .await;
}

/// Number of unfinished requests on each host when it is replaced.
const REQUESTS: usize = 20;

/// Guards against requests that are cut or lost while hosts are replaced. Under load, each host
/// in turn drains and stops, and another starts. Requests are lost if a host ends before they do.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_loses_no_request() {
    let few = |options: &mut EngineOptions| options.slots = 4;
    let mut site = Site::with_engines(2)
        .engine_options(few)
        .and_hosts(3)
        .start()
        .await;
    let mut asks = Vec::new();
    for number in 0..3 {
        for request in 0..REQUESTS {
            let tag = format!("h{number}r{request}");
            asks.push((
                tag.clone(),
                site.ask("question")
                    .tagged(&tag)
                    .output_tokens(40)
                    .at_host(0)
                    .spawn(),
            ));
        }
        // The balancer stops sending to a host before the host stops, so all requests must have
        // arrived. One running request is not enough: under load, other callers may still be
        // connecting, and a stopping host closes connections that it has not read. The reported
        // queue length is up to 100 ms old, so the second check reads a newer value.
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            site.until("requests are in", |site| {
                let prefix = format!("h{number}r");
                let runs = site.log.runs();
                let running = runs.iter().filter(|run| run.tag.starts_with(&prefix));
                running.count() + site.host().status().queued >= REQUESTS
            })
            .await;
        }
        site.stop_host().await;
        site.host = site.others.remove(0);
        let new = site.start_numbered(number + 3).await;
        site.others.push(Some(new));
        site.list_hosts();
    }
    for (tag, ask) in asks {
        ask.await.unwrap().assert_whole(&tag, 40);
        assert_eq!(site.log.count(&tag), 1);
    }
}

/// Guards against a failure domain that stops serving when it is cut off from the platform. The
/// platform is down for all hosts, and each host in turn gets requests. The failure occurs if
/// a decision waits for the platform.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_without_its_platform_goes_on() {
    let site = Site::with_engines(2)
        .and_service("orders")
        .and_hosts(3)
        .start()
        .await;
    site.until("one coordinator", |site| {
        let coordinators: BTreeSet<HostId> =
            site.hosts().map(|host| host.status().coordinator).collect();
        coordinators.len() == 1
    })
    .await;
    site.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    for number in 0..3 {
        let tag = format!("t{number}");
        let ask = site.ask("question").tagged(&tag).at_host(number);
        ask.send().await.assert_whole(&tag, 4);
        let ask = site
            .ask("order")
            .at_service("orders")
            .tagged("o")
            .at_host(number);
        assert_eq!(ask.send().await.status, 200);
    }
}
