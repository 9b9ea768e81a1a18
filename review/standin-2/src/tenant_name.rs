//! The operator adds a tenant whose name has a space, and removes a key of another tenant, in one
//! version.

use {
    crate::{
        Verdict,
        deployment::{CONFIG_APPLY, Deployment, REVOKE, config, route, runs_of, send},
        record::Record,
    },
    serde_json::Value,
    std::{path::Path, sync::Arc, thread, time::Duration},
};

/// Rounds of requests after the change, and the pause before each.
const ROUNDS: usize = 10;
const PAUSE: Duration = Duration::from_secs(1);

const KEPT_KEY: &str = "kept-key";
const NEW_KEY: &str = "key-of-the-guild";
const REMOVED_KEY: &str = "removed-key";

fn configuration(version: u64, tenants: &[(&str, &[&str])]) -> Value {
    let routes = [
        route("stock-lookup", "/stock/", "idempotent"),
        route("order-confirm", "/order/", "non_idempotent"),
    ];
    config(version, &routes, tenants)
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let before = configuration(3, &[("shop-team", &[KEPT_KEY, REMOVED_KEY])]);
    let Some(deployment) = Deployment::start(folder, record, before) else {
        return Verdict::NotRun;
    };
    let name = if has_trouble {
        "Guild of Winterthur"
    } else {
        "Guild-of-Winterthur"
    };
    let tenants: [(&str, &[&str]); 2] = [("shop-team", &[KEPT_KEY]), (name, &[NEW_KEY])];
    deployment
        .store
        .put("op", "config", configuration(5, &tenants));
    let acknowledged = record.now();
    record.note(&format!(
        "configuration 5 without the removed key, with the tenant {name:?}, acknowledged"
    ));
    let mut late = Vec::new();
    let mut refused = 0;
    let mut is_served = true;
    for _ in 0..ROUNDS {
        thread::sleep(PAUSE);
        for host in &deployment.hosts {
            is_served &= send(host, KEPT_KEY, record).status == 200;
            let removed = send(host, REMOVED_KEY, record);
            if removed.at > acknowledged + REVOKE {
                late.push(removed.attempt);
            }
            let new = send(host, NEW_KEY, record);
            if new.at > acknowledged + CONFIG_APPLY && new.status == 401 {
                refused += 1;
            }
        }
    }
    record.note(&format!(
        "{refused} requests with the new key were refused with 401, sent later than \
         config-apply-ms after the acknowledgement"
    ));
    let run = runs_of(&deployment, &late, acknowledged, record);
    match (run + refused, is_served) {
        (1.., _) => Verdict::Broken,
        (0, true) => Verdict::Held,
        (0, false) => Verdict::NotRun,
    }
}
