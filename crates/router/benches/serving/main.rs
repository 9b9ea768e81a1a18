//! Measures the latency that a host adds to the first token and between tokens, compared with
//! the engine stand-in alone, and how many requests and tokens per second one host forwards.
//! Both paths are measured alternately in one run. With `LOGGING`, measures the CPU time per
//! request with and without logs.
//!
//! Run with `cargo bench -p rhubarbcove-router --bench serving [-- LOGGING]`.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, Settings},
    futures::StreamExt,
    http_body_util::{BodyDataStream, Full},
    hyper::{Request, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    router::{Host, Serving, discard_logger, json_logger_to},
    serde_json::{Map, json},
    slog::Logger,
    standin::{EngineOptions, EngineStandin, PlatformStandin, RunLog},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{ConfigStore, PlatformClient},
    tokio::net::TcpStream,
    types::prelude::*,
};

mod load;
mod logging;
#[path = "../common/processor.rs"]
mod processor;
mod setup;

use {
    load::{Timing, measure_rates, percentile, timed},
    processor::processor_s_by_thread_name,
    setup::{start_engines, start_host},
};

/// Number of streams timed directly and through the host.
const TIMED_STREAMS: usize = 400;

/// Numbers of concurrent streams for which the maximum rate is measured.
const CONCURRENT_STREAMS: [usize; 3] = [64, 256, 1_024];

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    if std::env::args().any(|arg| arg == "LOGGING") {
        return runtime.block_on(logging::logging());
    }
    runtime.block_on(added_time());
    for caller_threads in [1, 2, 4] {
        runtime.block_on(maximum_rate(caller_threads));
    }
}

/// Measures streams of 20 tokens, 5 ms apart, alternating between the engine and the host.
async fn added_time() {
    let options = EngineOptions {
        load_slope: 0.0,
        prefill_us_per_token: 0,
        token_time_us: 5_000,
        ..EngineOptions::default()
    };
    let engines = start_engines(2, &options).await;
    let host = start_host(&engines, &options, 1, discard_logger()).await;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for number in 0..TIMED_STREAMS {
        let engine = engines[number % engines.len()].address();
        direct.push(timed(engine, 20).await);
        through.push(timed(host.caller_address(), 20).await);
    }
    for (name, part) in [
        (
            "first token",
            (|timing| timing.first_token) as fn(&Timing) -> Duration,
        ),
        ("between tokens, mean of an answer", |timing| timing.between),
    ] {
        for share in [0.5, 0.95] {
            let direct = percentile(&direct, part, share);
            let through = percentile(&through, part, share);
            println!(
                "{name}, p{:.0}: direct {:.3} ms, through a host {:.3} ms, added {:.3} ms",
                share * 100.0,
                direct.as_secs_f64() * 1e3,
                through.as_secs_f64() * 1e3,
                (through.as_secs_f64() - direct.as_secs_f64()) * 1e3,
            );
        }
    }
    stop(host).await;
}

/// Measures many concurrent short streams from engines that emit tokens as fast as they can.
async fn maximum_rate(caller_threads: usize) {
    let options = EngineOptions {
        load_slope: 0.0,
        prefill_us_per_token: 0,
        slots: 4_096,
        token_time_us: 1,
        ..EngineOptions::default()
    };
    let engines = start_engines(4, &options).await;
    let host = start_host(&engines, &options, caller_threads, discard_logger()).await;
    for at_once in CONCURRENT_STREAMS {
        let direct: Vec<SocketAddr> = engines.iter().map(EngineStandin::address).collect();
        let direct = measure_rates(&direct, at_once, 240).await;
        let through = measure_rates(&[host.caller_address()], at_once, 240).await;
        println!(
            "{caller_threads} caller threads, {at_once} at once, 240 tokens each: through a host \
             {:.0} requests/s, {:.0} tokens/s; engines directly {:.0} and {:.0}, ratio {:.2}",
            through.requests_per_s,
            through.tokens_per_s,
            direct.requests_per_s,
            direct.tokens_per_s,
            through.tokens_per_s / direct.tokens_per_s,
        );
    }
    stop(host).await;
}

async fn stop(host: Host<Serving>) {
    tokio::task::spawn_blocking(move || host.drain().stop().unwrap())
        .await
        .unwrap();
}
