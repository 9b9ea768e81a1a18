//! A small installation: zones, hosts, two services, a store, and the operator.

use {
    crate::{
        caller::HOSTNAME,
        host::{Host, Shared},
        record::Record,
        server::{Runs, Server, Started},
        store::Store,
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Zones and their hosts.
pub const THREE_ZONES: [(&str, usize); 3] = [("halle-a", 3), ("halle-b", 2), ("halle-c", 2)];

/// Two zones, with so many hosts each that one of a zone asks the store for the others.
pub const TWO_ZONES: [(&str, usize); 2] = [("halle-a", 4), ("halle-b", 4)];

/// Services with plain servers: the shop application, and a second one to which a route can move.
const SERVICES: [(&str, usize); 2] = [("shop-app", 2), ("shop-new", 2)];

/// Longest time until all hosts are ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

pub struct Installation {
    pub hosts: Vec<Host>,
    pub runs: Runs,
    pub servers: Vec<Started>,
    pub store: Store,
}

impl Installation {
    /// Starts the store, the servers and the hosts, with the operator's first configuration.
    pub fn start(
        folder: &Path,
        zones: &[(&str, usize)],
        configuration: &Value,
        cloud: Option<SocketAddr>,
        record: &Record,
    ) -> Option<Self> {
        let store = Store::start();
        let runs = Runs::default();
        let mut count = 0;
        let mut servers_started = Vec::new();
        for (zone, _) in zones {
            for (service, servers) in SERVICES {
                for _ in 0..servers {
                    count += 1;
                    let server = Server {
                        id: format!("i-{count:02}"),
                        service: service.to_string(),
                        slots: 6,
                        zone: zone.to_string(),
                    };
                    servers_started.push(server.start(&store, &runs, record));
                }
            }
        }
        store.put("op", "config", configuration);
        let shared = Shared {
            cloud,
            folder: folder.to_path_buf(),
            store: store.address,
        };
        let mut hosts = Vec::new();
        for (zone, in_zone) in zones {
            for number in 1..=*in_zone {
                let mut host = Host::new(&format!("front-{zone}-{number}"), zone, &shared);
                host.start();
                hosts.push(host);
            }
        }
        let installation = Self {
            hosts,
            runs,
            servers: servers_started,
            store,
        };
        if !crate::host::wait_ready(&installation.hosts, READY_LIMIT) {
            record.say("not all hosts became ready");
            return None;
        }
        record.say("all hosts are ready");
        Some(installation)
    }

    /// Writes a configuration, again and again while the store is away. Returns the time of the
    /// store's acknowledgement.
    pub fn write_configuration(&self, configuration: &Value, record: &Record) -> Instant {
        loop {
            if let Some(version) = self.store.put("op", "config", configuration) {
                let acknowledged = Instant::now();
                record.say(format!(
                    "the store acknowledges configuration {} at its version {version}",
                    configuration["version"]
                ));
                return acknowledged;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A configuration of the operator: the service of the route for orders, and the keys of the two
/// tenants.
pub fn configuration(version: u64, orders_at: &str, keys: [&[&str]; 2]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "hostname": HOSTNAME, "prefix": prefix, "kind": kind,
            "timeout-ms": 1_200, "target-latency-ms": 200, "priority": 2, "service": service,
            "max-attempts": if kind == "idempotent" { 2 } else { 1 }, "public": false,
            "sticky": false, "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("orders", "/orders/", "non_idempotent", orders_at),
            route("stock", "/stock/", "idempotent", "shop-app"),
        ],
        "services": [
            {"name": "shop-app", "health-path": "/health", "max-connections": 400, "slots": 6},
            {"name": "shop-new", "health-path": "/health", "max-connections": 400, "slots": 6},
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 262_144,
            "header-timeout-ms": 5_000, "idle-timeout-ms": 15_000,
        },
        "tenants": [
            {"name": "guild", "api-keys": keys[0]},
            {"name": "quilters", "api-keys": keys[1]},
        ],
    })
}
