//! The deployment that several cases use: six hosts in three zones, and a shop with one server in
//! each zone.

use {
    crate::{
        record::Record,
        site::{Heartbeats, Host, Runs, ask, request, shop_server, wait_until_ready},
    },
    platform_standin::{ServerStandin, StoreStandin},
    serde_json::{Value, json},
    std::{
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

const ZONES: [&str; 3] = ["halle-a", "halle-b", "halle-c"];

pub struct Deployment {
    pub heartbeats: Heartbeats,
    pub hosts: Vec<Host>,
    pub runs: Runs,
    pub store: StoreStandin,
    _servers: Vec<ServerStandin>,
}

impl Deployment {
    /// Starts the deployment with a configuration; `None` if its hosts don't become ready.
    pub fn start(folder: &Path, record: &Arc<Record>, config: Value) -> Option<Self> {
        Self::start_with(folder, record, config, &[])
    }

    /// Like [`Self::start`], with more servers, each given by its id and its zone.
    pub fn start_with(
        folder: &Path,
        record: &Arc<Record>,
        config: Value,
        more: &[(&str, &str)],
    ) -> Option<Self> {
        let store = StoreStandin::start();
        store.put("op", "config", config);
        let runs: Runs = Arc::new(Mutex::new(Vec::new()));
        let mut servers = Vec::new();
        let mut rows = Vec::new();
        let usual = ZONES.map(|zone| (format!("i-{zone}"), zone.to_string()));
        let more = more.iter();
        let more = more.map(|(id, zone)| (id.to_string(), zone.to_string()));
        for (id, zone) in usual.into_iter().chain(more) {
            let server = shop_server(&id, Duration::from_millis(30), &runs, record);
            rows.push((id, server.address, zone));
            servers.push(server);
        }
        let heartbeats = Heartbeats::start(&store, rows);
        let hosts = (0..6).map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
            Host::new(folder, &name, zone, store.address)
        });
        let mut hosts: Vec<Host> = hosts.collect();
        for host in &mut hosts {
            host.start();
        }
        if !wait_until_ready(&mut hosts) {
            return None;
        }
        // The hosts have found each other after some seconds.
        thread::sleep(Duration::from_secs(4));
        Some(Self {
            heartbeats,
            hosts,
            runs,
            store,
            _servers: servers,
        })
    }
}

/// A route of the shop.
pub fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "hostname": "quilts.example", "prefix": prefix, "kind": kind,
        "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": "shop",
        "max-attempts": 2, "public": false, "sticky": false, "resumable": false,
    })
}

/// A configuration with some routes and tenants, each given by its name and its keys.
pub fn config(version: u64, routes: &[Value], tenants: &[(&str, &[&str])]) -> Value {
    let tenants = tenants.iter();
    let tenants =
        tenants.map(|(name, keys)| json!({"name": name, "api-keys": keys, "priority": 1}));
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "shop", "health-path": "/health", "max-connections": 100}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 5000, "idle-timeout-ms": 10000,
        },
        "tenants": tenants.collect::<Vec<_>>(),
    })
}

/// Bound of the site for the removal of a key.
pub const REVOKE: Duration = Duration::from_millis(5_000);

/// Bound of the site for the leaving of a server.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// Bound of the site for a change of the configuration.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// A request that was sent, and the status of its answer; 0 without one.
pub struct Sent {
    pub at: Duration,
    pub attempt: String,
    pub status: u16,
}

/// Sends one idempotent request with a key, on a new connection.
pub fn send(host: &Host, key: &str, record: &Record) -> Sent {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let attempt = format!("{key}-{number}");
    let at = record.now();
    let response = ask(host, &request("GET /stock/7", &attempt, key));
    let status = response.map_or(0, |response| response.status);
    let (name, second) = (&host.name, at.as_secs_f64());
    record.note(&format!(
        "{attempt} to {name} sent at {second:.3}: {status}"
    ));
    Sent {
        at,
        attempt,
        status,
    }
}

/// Counts the runs of some requests, and records each with its time since the acknowledgement.
pub fn runs_of(
    deployment: &Deployment,
    attempts: &[String],
    acknowledged: Duration,
    record: &Record,
) -> usize {
    let runs = deployment.runs.lock().unwrap();
    let runs = runs.iter().filter(|run| attempts.contains(&run.attempt));
    let counted = runs.map(|run| {
        record.note(&format!(
            "{} ran at {} for {} at {:.3}, {:.1} s after the removal of its key",
            run.attempt,
            run.server,
            run.tenant,
            run.at.as_secs_f64(),
            (run.at - acknowledged).as_secs_f64()
        ));
    });
    counted.count()
}
