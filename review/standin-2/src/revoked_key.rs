//! A key is removed. More than `revoke-ms` later, one host is killed and starts again, while the
//! store comes back from a copy that is some seconds old and has the configuration before the
//! removal. The operator writes its newest configuration again.

use {
    crate::{
        Verdict,
        deployment::{Deployment, REVOKE, config, route, runs_of, send},
        record::Record,
    },
    platform_standin::Fault,
    serde_json::Value,
    std::{
        path::Path,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from the store's return until the operator has written its newest configuration again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which requests are sent after the store's return.
const WATCHED: Duration = Duration::from_secs(8);

/// The host that is killed.
const KILLED: usize = 1;

const KEPT_KEY: &str = "kept-key";
const REMOVED_KEY: &str = "removed-key";

fn configuration(version: u64, keys: &[&str]) -> Value {
    let routes = [
        route("stock-lookup", "/stock/", "idempotent"),
        route("order-confirm", "/order/", "non_idempotent"),
    ];
    config(version, &routes, &[("shop-team", keys)])
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let before = configuration(3, &[KEPT_KEY, REMOVED_KEY]);
    let after = configuration(5, &[KEPT_KEY]);
    let Some(mut deployment) = Deployment::start(folder, record, before) else {
        return Verdict::NotRun;
    };
    let store = deployment.store.clone();
    for host in &deployment.hosts {
        if send(host, REMOVED_KEY, record).status != 200 {
            return Verdict::NotRun;
        }
    }
    let copy = store.copy();
    record.note("copy of the store");
    thread::sleep(Duration::from_millis(300));
    store.put("op", "config", after.clone());
    let acknowledged = record.now();
    record.note("configuration 5 without the removed key acknowledged");
    thread::sleep(REVOKE + Duration::from_millis(200));
    for host in &deployment.hosts {
        if send(host, REMOVED_KEY, record).status != 401
            || send(host, KEPT_KEY, record).status != 200
        {
            return Verdict::NotRun;
        }
    }
    record.note(&format!("{} killed", deployment.hosts[KILLED].name));
    deployment.hosts[KILLED].kill();
    deployment.heartbeats.pause(true);
    if has_trouble {
        record.note("store away");
        store.set_fault(Fault::Silent);
    }
    thread::sleep(AWAY);
    if has_trouble {
        store.restore(&copy);
        store.set_fault(Fault::None);
        record.note("store back from the copy");
    }
    deployment.heartbeats.pause(false);
    let back = Instant::now();
    deployment.hosts[KILLED].start();
    record.note(&format!("{} started", deployment.hosts[KILLED].name));
    let mut late = Vec::new();
    let mut is_written_again = false;
    while back.elapsed() < WATCHED {
        if has_trouble && !is_written_again && back.elapsed() >= WRITTEN_AGAIN_AFTER {
            is_written_again = true;
            store.put("op", "config", after.clone());
            record.note("configuration 5 written again");
        }
        for host in &deployment.hosts {
            let sent = send(host, REMOVED_KEY, record);
            if sent.at > acknowledged + REVOKE {
                late.push(sent.attempt);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let mut hosts = deployment.hosts.iter();
    let is_served = hosts.all(|host| send(host, KEPT_KEY, record).status == 200);
    match runs_of(&deployment, &late, acknowledged, record) {
        1.. => Verdict::Broken,
        0 if is_served => Verdict::Held,
        0 => Verdict::NotRun,
    }
}
