//! The store comes back from an older copy while the operator takes a key away and moves a route:
//! the hosts go on with the configuration before, for good.

use {
    crate::{
        Verdict,
        caller::{Callers, Kind, Sent},
        installation::{Installation, THREE_ZONES, configuration},
        record::Record,
        server::Run,
    },
    std::{
        collections::HashMap,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(2_250);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time before the drill, in which the hosts serve.
const BEFORE: Duration = Duration::from_secs(12);

/// Time for which callers go on after the store's return.
const AFTER: Duration = Duration::from_secs(25);

/// Bounds of the site: `revoke-ms`, `config-apply-ms` and `stable-ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const STABLE: Duration = Duration::from_millis(4_000);

const REVOKED_KEY: &str = "key-that-is-taken-away";

const KINDS: [Kind; 3] = [
    Kind {
        key: "key-of-the-guild",
        method: "POST",
        path: "/orders/2f",
    },
    Kind {
        key: "key-of-the-quilters",
        method: "GET",
        path: "/stock/2f",
    },
    Kind {
        key: REVOKED_KEY,
        method: "GET",
        path: "/stock/2f",
    },
];

pub fn run(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let first = configuration(
        7,
        "shop-app",
        [&["key-of-the-guild"], &["key-of-the-quilters", REVOKED_KEY]],
    );
    let second = configuration(
        9,
        "shop-new",
        [&["key-of-the-guild"], &["key-of-the-quilters"]],
    );
    let Some(installation) = Installation::start(folder, &THREE_ZONES, &first, None, record) else {
        return Verdict::NotRun;
    };
    let callers = Callers::new(record);
    for host in &installation.hosts {
        callers.start(&host.name, host.callers, &KINDS, Duration::from_millis(150));
    }
    std::thread::sleep(BEFORE);
    if trouble {
        installation.store.go_away();
        record.say("drill: the store goes away");
    }
    std::thread::sleep(AWAY);
    let acknowledged = std::thread::scope(|scope| {
        // The operator's change is the first write that goes through after the store's return.
        let write = || installation.write_configuration(&second, record);
        let change = scope.spawn(write);
        std::thread::sleep(Duration::from_millis(10));
        if trouble {
            let (before, after) = installation.store.come_back(COPY_AGE);
            record.say(format!(
                "drill: the store is back from a copy; its version was {before} and is {after}"
            ));
        }
        change.join().unwrap()
    });
    let returned = Instant::now();
    for seconds in 1..=AFTER.as_secs() {
        std::thread::sleep(Duration::from_secs(1));
        if seconds % 5 == 0 {
            record.say(format!(
                "the store's version is {}",
                installation.store.version()
            ));
        }
    }
    callers.stop();
    let runs = installation.runs.lock().unwrap().clone();
    judge(&callers.all(), &runs, acknowledged, returned, record)
}

/// CONFIG: a request sent later than `revoke-ms` after the acknowledgement of a configuration that
/// took its key away runs; or a request sent later than `config-apply-ms` after the acknowledgement
/// runs at the service of the older version, at a machine in touch.
fn judge(
    sent: &[Sent],
    runs: &[Run],
    acknowledged: Instant,
    returned: Instant,
    record: &Record,
) -> Verdict {
    let mut by_request: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let ran = |sent: &Sent| {
        by_request
            .get(sent.id.as_str())
            .cloned()
            .unwrap_or_default()
    };
    let late = |sent: &&Sent| sent.at > acknowledged + REVOKE && sent.kind.key == REVOKED_KEY;
    let with_key: Vec<&Sent> = sent.iter().filter(late).collect();
    let revoked: Vec<&&Sent> = with_key
        .iter()
        .filter(|sent| !ran(sent).is_empty())
        .collect();
    let in_force = (acknowledged + CONFIG_APPLY).max(returned + STABLE);
    let orders = sent
        .iter()
        .filter(|sent| sent.at > in_force && sent.kind.path.starts_with("/orders/"));
    let orders: Vec<&Sent> = orders.collect();
    let at_old = |sent: &&&Sent| ran(sent).iter().any(|run| run.service == "shop-app");
    let moved: Vec<&&Sent> = orders.iter().filter(at_old).collect();
    record.say(format!(
        "{} of {} requests with the key that was taken away ran, sent over {} ms after the acknowledgement",
        revoked.len(), with_key.len(), REVOKE.as_millis()
    ));
    record.say(format!(
        "{} of {} orders ran at the service of the older version, sent over {} ms after the acknowledgement",
        moved.len(), orders.len(), in_force.duration_since(acknowledged).as_millis()
    ));
    if let Some(last) = revoked.last() {
        let runs = ran(last);
        record.say(format!(
            "the last of them: {} sent to {} at {:.3} s, run by {} for tenant {:?}, answered {}",
            last.id,
            last.host,
            record.seconds(last.at),
            runs[0].server,
            runs[0].tenant,
            last.status
        ));
    }
    if with_key.is_empty() || orders.is_empty() {
        return Verdict::NotRun;
    }
    if revoked.is_empty() && moved.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
