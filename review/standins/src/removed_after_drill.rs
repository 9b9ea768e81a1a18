//! The store comes back from an older copy, and seconds later a server leaves without a word: the
//! hosts that ask another host in place of the store go on sending to it.

use {
    crate::{
        Verdict,
        caller::{Callers, Kind, Sent},
        installation::{Installation, TWO_ZONES, configuration},
        record::Record,
        server::Run,
    },
    std::{
        collections::{BTreeMap, HashMap},
        path::Path,
        time::{Duration, Instant},
    },
};

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(7_500);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time before the drill, in which the hosts serve.
const BEFORE: Duration = Duration::from_secs(14);

/// Time from the store's return to the removal: the store has been stable for `stable-ms` of the
/// site, 4,000 ms, by then.
const RETURN_TO_REMOVAL: Duration = Duration::from_millis(4_500);

/// Time for which the server serves after its entry was removed: `drain-ms` of the site, 3,000 ms,
/// and some seconds.
const SERVES_ON: Duration = Duration::from_millis(9_000);

/// Time for which callers go on after the end of the server.
const AFTER: Duration = Duration::from_secs(3);

/// Bound of the site: `drain-ms`.
const DRAIN: Duration = Duration::from_millis(3_000);

const KINDS: [Kind; 2] = [
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
];

pub fn run(folder: &Path, trouble: bool, record: &Record) -> Verdict {
    let keys: [&[&str]; 2] = [&["key-of-the-guild"], &["key-of-the-quilters"]];
    let first = configuration(7, "shop-app", keys);
    let installation = Installation::start(folder, &TWO_ZONES, &first, None, record);
    let Some(mut installation) = installation else {
        return Verdict::NotRun;
    };
    let callers = Callers::new(record);
    for host in &installation.hosts {
        callers.start(&host.name, host.callers, &KINDS, Duration::from_millis(50));
    }
    std::thread::sleep(BEFORE);
    if trouble {
        installation.store.go_away();
        record.say("drill: the store goes away");
    }
    std::thread::sleep(AWAY);
    if trouble {
        let (before, after) = installation.store.come_back(COPY_AGE);
        record.say(format!(
            "drill: the store is back from a copy; its version was {before} and is {after}"
        ));
    }
    std::thread::sleep(RETURN_TO_REMOVAL);
    let server = installation.servers.remove(0);
    let id = server.id.clone();
    let (removed, end) = server.leave(&installation.store);
    record.say(format!(
        "the entry of server {id} is removed; the store's version is {}",
        installation.store.version()
    ));
    std::thread::sleep(SERVES_ON);
    end();
    record.say(format!("server {id} ends"));
    std::thread::sleep(AFTER);
    callers.stop();
    let runs = installation.runs.lock().unwrap().clone();
    judge(&callers.all(), &runs, &id, removed, record)
}

/// DRAIN: a request reaches a server later than `drain-ms` after the store acknowledged that the
/// server is gone.
fn judge(sent: &[Sent], runs: &[Run], id: &str, removed: Instant, record: &Record) -> Verdict {
    let hosts: HashMap<&str, &str> = sent
        .iter()
        .map(|sent| (sent.id.as_str(), sent.host.as_str()))
        .collect();
    let at_server: Vec<&Run> = runs.iter().filter(|run| run.server == id).collect();
    let late = at_server.iter().filter(|run| run.at > removed + DRAIN);
    let mut by_host: BTreeMap<&str, usize> = BTreeMap::new();
    for run in late {
        let host = hosts.get(run.request.as_str()).copied();
        *by_host
            .entry(host.unwrap_or("an unknown host"))
            .or_default() += 1;
    }
    record.say(format!(
        "{} requests reached server {id} in all; over {} ms after the removal of its entry, by host: {by_host:?}",
        at_server.len(),
        DRAIN.as_millis(),
    ));
    let failed = sent.iter().filter(|sent| sent.status != 200).count();
    record.say(format!(
        "{failed} of {} requests were not served",
        sent.len()
    ));
    if at_server.is_empty() {
        return Verdict::NotRun;
    }
    if by_host.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
