//! A server leaves: its entry is removed, and it goes on serving for some time. Longer than
//! `drain-ms` after the hosts have read that, the store comes back from a copy that is some seconds
//! old and still has the entry. The entry is removed again a second later.

use {
    crate::{
        Verdict,
        deployment::{DRAIN, Deployment, config, route, send},
        record::Record,
    },
    platform_standin::Fault,
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time in which all hosts have read a change of the servers' entries.
const READ: Duration = Duration::from_millis(1_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from the store's return until the entry has been removed again.
const REMOVED_AGAIN_AFTER: Duration = Duration::from_millis(1_000);

/// Time for which requests are sent after the store's return.
const WATCHED: Duration = Duration::from_secs(5);

/// Callers, each of which sends one request after the other.
const CALLERS: usize = 18;

const KEY: &str = "key-of-shop";
const LEAVING: &str = "i-leaving";

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [route("stock-lookup", "/stock/", "idempotent")];
    let config = config(3, &routes, &[("shop-team", &[KEY])]);
    let leaving = [(LEAVING, "halle-b")];
    let Some(deployment) = Deployment::start_with(folder, record, config, &leaving) else {
        return Verdict::NotRun;
    };
    let store = &deployment.store;
    let send_for = |time: Duration| {
        let began = Instant::now();
        let unserved = AtomicUsize::new(0);
        thread::scope(|scope| {
            for host in deployment.hosts.iter().cycle().take(CALLERS) {
                scope.spawn(|| {
                    while began.elapsed() < time {
                        let is_served = send(host, KEY, record).status == 200;
                        unserved.fetch_add(usize::from(!is_served), Ordering::Relaxed);
                        thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        });
        unserved.into_inner()
    };
    send_for(Duration::from_secs(1));
    let copy = store.copy();
    record.note("copy of the store");
    send_for(Duration::from_millis(300));
    deployment.heartbeats.leave(LEAVING);
    let acknowledged = record.now();
    record.note(&format!("the removal of {LEAVING}'s entry acknowledged"));
    send_for(READ + DRAIN);
    deployment.heartbeats.pause(true);
    if has_trouble {
        record.note("store away");
        store.set_fault(Fault::Silent);
    }
    send_for(AWAY);
    if has_trouble {
        store.restore(&copy);
        store.set_fault(Fault::None);
        record.note("store back from the copy");
    }
    deployment.heartbeats.pause(false);
    send_for(REMOVED_AGAIN_AFTER);
    if has_trouble {
        store.remove("servers", LEAVING);
        record.note(&format!("{LEAVING}'s entry removed again"));
    }
    let unserved = send_for(WATCHED - REMOVED_AGAIN_AFTER);
    let runs = deployment.runs.lock().unwrap();
    let at_leaving = || runs.iter().filter(|run| run.server == LEAVING);
    let before = at_leaving().filter(|run| run.at < acknowledged).count();
    let late = at_leaving().filter(|run| run.at > acknowledged + READ + DRAIN);
    let late: Vec<_> = late.collect();
    for run in &late {
        record.note(&format!(
            "{} reached {LEAVING} at {:.3}, {:.1} s after the removal of its entry",
            run.attempt,
            run.at.as_secs_f64(),
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    record.note(&format!(
        "{before} requests reached {LEAVING} before its entry was removed, {} of {} later than \
         drain-ms after all hosts had read that; {unserved} were not served at the end",
        late.len(),
        runs.len()
    ));
    match (before, late.len()) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
