//! Measures the control overhead of an idle host: CPU time by thread, memory, bytes and calls,
//! and how they grow with the number of hosts, upstreams and teams.
//!
//! Run with `cargo bench -p rhubarbcove-router --bench control`. With `-- CONFIG`, measures how
//! long an accepted patch takes to be in force on all hosts of a failure domain.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, Patch, Settings},
    router::{Host, Serving},
    serde_json::{Map, Value, json},
    standin::{EngineOptions, EngineStandin, PlatformStandin, RunLog},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    store::{ConfigStore, ListedHost, ListedState, PlatformClient},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    types::prelude::*,
};

mod process;
#[path = "../common/processor.rs"]
mod processor;
mod relay;
mod site;

use {
    process::resident_bytes,
    processor::processor_s_by_thread_name,
    relay::{Counter, relay},
    site::{ControlSite, Size},
};

/// Patches submitted for each size.
const PATCHES: u64 = 12;

/// Time for a site to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Length of the measurement.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(8);

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    if std::env::args().any(|arg| arg == "CONFIG") {
        for hosts in [2, 8, 24] {
            runtime.block_on(configuration_delay(hosts));
        }
        return;
    }
    println!(
        "{:>5} {:>9} {:>5} | percent of a core a host, by duty                      | {:>8} | bytes/s a host, both ways   | {:>9}",
        "hosts", "upstreams", "teams", "MB/host", "reads/s"
    );
    println!(
        "{:>5} {:>9} {:>5} | {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} | {:>8} | {:>8} {:>8} {:>8} | {:>9}",
        "",
        "",
        "",
        "decide",
        "platform",
        "upstrms",
        "peers",
        "others",
        "sum",
        "",
        "platform",
        "engines",
        "peers",
        "all hosts"
    );
    let base = Size {
        engines: 16,
        hosts: 4,
        teams: 100,
    };
    let sizes = [
        base,
        Size { hosts: 2, ..base },
        Size { hosts: 8, ..base },
        Size { hosts: 16, ..base },
        Size { hosts: 24, ..base },
        Size { engines: 4, ..base },
        Size {
            engines: 64,
            ..base
        },
        Size {
            engines: 131,
            ..base
        },
        Size { teams: 10, ..base },
        Size { teams: 435, ..base },
        Size { teams: 870, ..base },
        Size {
            engines: 131,
            hosts: 24,
            teams: 870,
        },
    ];
    for size in sizes {
        runtime.block_on(measure(size));
    }
}

/// Submits patches one by one and waits until each is in force on all hosts.
async fn configuration_delay(hosts: usize) {
    let size = Size {
        engines: 4,
        hosts,
        teams: 100,
    };
    let mut site = ControlSite::start_upstreams(size).await;
    site.start_hosts(size).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut delays_ms = Vec::new();
    for version in 1..=PATCHES {
        let delays = site.patch(version).await;
        delays_ms.extend(delays.iter().map(|delay| delay.as_secs_f64() * 1e3));
    }
    delays_ms.sort_by(f64::total_cmp);
    let at = |share: f64| delays_ms[((delays_ms.len() - 1) as f64 * share) as usize];
    println!(
        "{hosts:>2} hosts, {PATCHES} patches: in force on a host after p50 {:.0} ms, p95 {:.0} ms, \
         last {:.0} ms",
        at(0.5),
        at(0.95),
        at(1.0),
    );
    site.stop().await;
}

async fn measure(size: Size) {
    let mut site = ControlSite::start_upstreams(size).await;
    let upstream_bytes = resident_bytes();
    site.start_hosts(size).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let cpu_before = processor_s_by_thread_name();
    let bytes_before = site.bytes();
    let reads_before = site.platform.reads();
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let cpu = processor_s_by_thread_name();
    let bytes = site.bytes();
    let reads = site.platform.reads() - reads_before;
    let host_bytes = resident_bytes().saturating_sub(upstream_bytes);
    let seconds = MEASUREMENT_WINDOW.as_secs_f64();
    let hosts = size.hosts as f64;
    let percent = |thread: &str| {
        let spent = cpu.get(thread).unwrap_or(&0.0) - cpu_before.get(thread).unwrap_or(&0.0);
        100.0 * spent / seconds / hosts
    };
    let threads = ["controller", "platform", "upstreams", "peers", "operators"];
    let mut shares: Vec<f64> = threads.iter().map(|thread| percent(thread)).collect();
    shares[4] += percent("callers-0");
    let rate = |index: usize| (bytes[index] - bytes_before[index]) as f64 / seconds / hosts;
    println!(
        "{:>5} {:>9} {:>5} | {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} | {:>8.2} | {:>8.0} {:>8.0} {:>8.0} | {:>9.1}",
        size.hosts,
        size.engines,
        size.teams,
        shares[0],
        shares[1],
        shares[2],
        shares[3],
        shares[4],
        shares.iter().sum::<f64>(),
        host_bytes as f64 / hosts / 1e6,
        rate(0),
        rate(1),
        rate(2),
        reads as f64 / seconds,
    );
    site.stop().await;
}
