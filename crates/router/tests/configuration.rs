//! The shared configuration: numbered patches, concurrent patches, lost responses and outages.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    config::{Patch, VersionedDocument},
    http_body_util::Full,
    hyper::Request,
    serde_json::json,
    site::Site,
    standin::PlatformFaults,
    store::ConfigStoreError,
    types::prelude::*,
};

fn patch(id: &str, base: u64, value: f64) -> Patch {
    let operations = json!([{"op": "replace", "path": "/trial/max_slot_share", "value": value}]);
    Patch {
        author: "tests".to_string(),
        base: ConfigVersion::new(base),
        id: id.to_string(),
        operations: serde_json::from_value(operations).unwrap(),
    }
}

async fn version_in_force(site: &Site, version: u64) {
    site.until("version in force", |site| {
        site.host().status().version == Some(ConfigVersion::new(version))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_patch_is_soon_in_force() {
    let site = Site::with_engines(1).start().await;
    let version = site.store().submit(&patch("p", 1, 0.25)).await.unwrap();
    assert_eq!(version, ConfigVersion::new(2));
    version_in_force(&site, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_patch_is_refused_with_the_current_version() {
    let site = Site::with_engines(1).start().await;
    let store = site.store();
    store.submit(&patch("first", 1, 0.25)).await.unwrap();
    let current = ConfigVersion::new(2);
    let refused = store.submit(&patch("second", 1, 0.75)).await;
    assert_eq!(refused, Err(ConfigStoreError::Stale { current }));
    let newest = store.read().await.unwrap();
    assert_eq!(newest.document.trial.max_slot_share, 0.25);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_patches_one_is_accepted() {
    let site = Site::with_engines(1).start().await;
    let store = site.store();
    for base in 1..6 {
        let submits = (0..8).map(|number| {
            let store = store.clone();
            let patch = patch(
                &format!("{base}-{number}"),
                base,
                0.1 + f64::from(number) / 100.0,
            );
            async move { store.submit(&patch).await }
        });
        let results = futures::future::join_all(submits).await;
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(accepted, 1, "{results:?}");
    }
}

/// Guards against applying a patch twice, and against reporting an applied patch as stale. The
/// table accepts the patch but its response is lost. Both failures occur if the lost response is
/// taken for a refusal and the operator submits the patch again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_looked_up() {
    let site = Site::with_engines(1).start().await;
    site.platform.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let version = site.store().submit(&patch("p", 1, 0.25)).await;
    assert_eq!(version, Ok(ConfigVersion::new(2)));
    // A resubmitted patch is recognized and not applied twice.
    let again = site.store().submit(&patch("p", 1, 0.25)).await;
    assert_eq!(again, Ok(ConfigVersion::new(2)));
    assert_eq!(
        site.store().newest_version().await,
        Ok(ConfigVersion::new(2))
    );
}

/// A lost write cannot be distinguished from a write that is still in transit. The operator is
/// told that the outcome is unknown and may submit the same patch again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_write_is_reported_as_unknown() {
    let site = Site::with_engines(1).start().await;
    site.platform.set_faults(PlatformFaults {
        lose_writes: 1,
        ..PlatformFaults::default()
    });
    let patch = patch("p", 1, 0.25);
    let unknown = site.store().submit(&patch).await;
    assert_eq!(
        unknown,
        Err(ConfigStoreError::OutcomeUnknown {
            patch: "p".to_string()
        })
    );
    let again = site.store().submit(&patch).await;
    assert_eq!(again, Ok(ConfigVersion::new(2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_result_changes_nothing() {
    let site = Site::with_engines(1).start().await;
    let refused = site.store().submit(&patch("p", 1, 7.0)).await;
    assert!(
        matches!(refused, Err(ConfigStoreError::Invalid { .. })),
        "{refused:?}"
    );
    assert_eq!(
        site.store().newest_version().await,
        Ok(ConfigVersion::new(1))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn many_versions_are_read_from_a_snapshot_and_patches() {
    let mut site = Site::with_engines(1).start().await;
    let store = site.store();
    for base in 1..120 {
        let share = 0.1 + base as f64 / 1_000.0;
        store
            .submit(&patch(&format!("p{base}"), base, share))
            .await
            .unwrap();
    }
    version_in_force(&site, 120).await;
    site.stop_host().await;
    site.start_host().await;
    version_in_force(&site, 120).await;
    let old = store
        .read_version(ConfigVersion::new(75), None)
        .await
        .unwrap();
    assert_eq!(old.document.trial.max_slot_share, 0.1 + 74.0 / 1_000.0);
}

/// A host serves with its latest known configuration while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_goes_on_while_the_platform_is_down() {
    let site = Site::with_engines(1).start().await;
    site.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    site.ask("question").send().await.assert_whole("tag", 4);
    site.platform.set_faults(PlatformFaults::default());
    site.store().submit(&patch("p", 1, 0.25)).await.unwrap();
    version_in_force(&site, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_patch_over_http_with_their_token() {
    let site = Site::with_engines(1).start().await;
    let body = serde_json::to_string(&patch("p", 1, 0.25)).unwrap();
    let post = |token: &str| {
        Request::post("/config/patches")
            .header("authorization", format!("Bearer {token}"))
            .body(Full::from(body.clone()))
            .unwrap()
    };
    assert_eq!(site.operator(post("wrong-token-of-nobody")).await.0, 401);
    let (status, answer) = site.operator(post(site::OPERATOR_TOKEN)).await;
    assert_eq!(
        (status.as_u16(), answer.as_ref()),
        (200, &b"{\n  \"version\": 2\n}"[..])
    );
    version_in_force(&site, 2).await;
    let get = Request::get("/config")
        .header("authorization", format!("Bearer {}", site::OPERATOR_TOKEN))
        .body(Full::default())
        .unwrap();
    let (_, body) = site.operator(get).await;
    let numbered: VersionedDocument = serde_json::from_slice(&body).unwrap();
    assert_eq!(numbered.document.trial.max_slot_share, 0.25);
}
