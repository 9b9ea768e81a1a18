use super::*;

/// Requests in one measurement.
const REQUESTS: usize = 2_000;

/// Measurements with and without logs, alternating.
const ROUNDS: usize = 5;

/// Name prefixes of the measured threads. `slog-async` writes the log; the others serve requests.
const THREADS: [&str; 3] = ["callers", "controller", "slog-async"];

/// Measures the CPU time per request with and without logs, alternating between the two.
pub async fn logging() {
    let options = EngineOptions {
        load_slope: 0.0,
        prefill_us_per_token: 0,
        token_time_us: 1,
        ..EngineOptions::default()
    };
    let engines = start_engines(2, &options).await;
    let mut with = Vec::new();
    let mut without = Vec::new();
    for _ in 0..ROUNDS {
        let host_id: HostId = "host-0".parse().unwrap();
        let logger = json_logger_to(&host_id, std::io::sink());
        with.push(request_us(&engines, &options, logger).await);
        without.push(request_us(&engines, &options, discard_logger()).await);
    }
    let (with, without) = (median(with), median(without));
    println!(
        "processor time of a request of 20 tokens: with logs {with:.0} us, without {without:.0} \
         us, logs cost {:.1} %",
        (with / without - 1.0) * 100.0
    );
}

async fn request_us(engines: &[EngineStandin], options: &EngineOptions, logger: Logger) -> f64 {
    let host = start_host(engines, options, 1, logger).await;
    let before = processor_s();
    for _ in 0..REQUESTS {
        timed(host.caller_address(), 20).await;
    }
    let spent_s = processor_s() - before;
    stop(host).await;
    spent_s * 1e6 / REQUESTS as f64
}

fn processor_s() -> f64 {
    let spent_by_thread = processor_s_by_thread_name();
    let serves = |name: &str| THREADS.iter().any(|thread| name.starts_with(thread));
    let spent = spent_by_thread.iter().filter(|(name, _)| serves(name));
    spent.map(|(_, spent_s)| spent_s).sum()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
