//! CPU time of this process, for the benchmarks.

use std::collections::BTreeMap;

/// Clock ticks per second for times in `/proc`, which is the same on every Linux system.
const TICKS_PER_S: f64 = 100.0;

/// Returns the CPU time used so far by this process's threads, by thread name.
pub fn processor_s_by_thread_name() -> BTreeMap<String, f64> {
    let mut spent: BTreeMap<String, f64> = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let folder = task.unwrap().path();
        let Ok(stat) = std::fs::read_to_string(folder.join("schedstat")) else {
            continue;
        };
        let Ok(name) = std::fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        // The first field is the CPU time in nanoseconds.
        let ns: f64 = stat.split_whitespace().next().unwrap().parse().unwrap();
        let ns = if ns > 0.0 { ns } else { from_ticks(&folder) };
        *spent.entry(name.trim().to_string()).or_default() += ns / 1e9;
    }
    spent
}

/// Returns the user and system time in ticks, for kernels that keep no precise CPU times.
fn from_ticks(folder: &std::path::Path) -> f64 {
    let stat = std::fs::read_to_string(folder.join("stat")).unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS_PER_S * 1e9
}
