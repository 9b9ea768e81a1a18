//! The store comes back from an older copy, and a moment later the host that holds the duties is
//! restarted: the next holder reports a window again, with other counts.

use {
    crate::{
        Verdict,
        caller::{Callers, Kind},
        cloud::{Cloud, DutyCall},
        installation::{Installation, THREE_ZONES, configuration},
        record::Record,
    },
    serde_json::Value,
    std::{
        collections::BTreeMap,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(3_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from a report to the drill.
const REPORT_TO_DRILL: Duration = Duration::from_millis(700);

/// Time from the store's return to the restart of the holder.
const RETURN_TO_RESTART: Duration = Duration::from_millis(3_300);

/// Time for which the installation goes on after the restart.
const REST: Duration = Duration::from_secs(22);

/// Reports within this time of the store's return do not count: `stable-ms` of the site.
const STABLE: Duration = Duration::from_millis(4_000);

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
    let cloud = Cloud::start(record);
    let first = configuration(7, "shop-app", keys);
    let Some(mut installation) =
        Installation::start(folder, &THREE_ZONES, &first, Some(cloud.address), record)
    else {
        return Verdict::NotRun;
    };
    let callers = Callers::new(record);
    for host in &installation.hosts {
        callers.start(&host.name, host.callers, &KINDS, Duration::from_millis(150));
    }
    // The drill follows the report of a whole window in which requests were counted.
    let Some(report) = wait_for_report(&cloud, 2, Duration::from_secs(40)) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(REPORT_TO_DRILL);
    if trouble {
        installation.store.go_away();
        record.say("drill: the store goes away");
    }
    std::thread::sleep(AWAY);
    let returned = Instant::now();
    if trouble {
        let (before, after) = installation.store.come_back(COPY_AGE);
        record.say(format!(
            "drill: the store is back from a copy; its version was {before} and is {after}"
        ));
    }
    std::thread::sleep(RETURN_TO_RESTART);
    let holder = installation
        .hosts
        .iter_mut()
        .find(|host| host.name == report.holder);
    let Some(holder) = holder else {
        return Verdict::NotRun;
    };
    record.say(format!("planned restart of {}", holder.name));
    holder.terminate();
    let began = Instant::now();
    let mut is_restarted = false;
    while began.elapsed() < REST {
        if !is_restarted && holder.has_ended() {
            holder.start();
            is_restarted = true;
            record.say(format!("{} is started again", holder.name));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    callers.stop();
    judge(&cloud.accepted(), trouble.then_some(returned), record)
}

/// The report of a window that follows `whole` windows with counts.
fn wait_for_report(cloud: &Cloud, whole: usize, limit: Duration) -> Option<DutyCall> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let accepted = cloud.accepted();
        let counted = accepted
            .iter()
            .filter(|call| call.path == "/usage" && has_counts(call));
        if let Some(call) = counted.clone().nth(whole) {
            return Some(call.clone());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    None
}

fn has_counts(call: &DutyCall) -> bool {
    call.body["counts"]
        .as_object()
        .is_some_and(|counts| !counts.is_empty())
}

/// ONE: the platform accepts two usage reports for one window with different counts.
fn judge(accepted: &[DutyCall], returned: Option<Instant>, record: &Record) -> Verdict {
    let mut reports: BTreeMap<u64, &DutyCall> = BTreeMap::new();
    let mut broken = false;
    let mut windows = 0;
    for call in accepted.iter().filter(|call| call.path == "/usage") {
        let window = call.body["window-number"].as_u64().unwrap_or_default();
        let Some(first) = reports.get(&window) else {
            windows += 1;
            reports.insert(window, call);
            continue;
        };
        let counts = |call: &DutyCall| -> Value { call.body["counts"].clone() };
        let is_excused = returned
            .is_some_and(|returned| call.at > returned - AWAY && call.at < returned + STABLE);
        if counts(first) != counts(call) && !is_excused {
            broken = true;
            record.say(format!(
                "window {window}: {} reported {} at {:.3} s, {} reported {} at {:.3} s",
                first.holder,
                counts(first),
                record.seconds(first.at),
                call.holder,
                counts(call),
                record.seconds(call.at),
            ));
        }
    }
    record.say(format!("{windows} windows were reported"));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
