//! Prompt parts that crash the engines that run them, at hosts that share the load.

use crate::fatal_parts_simulation::CrashingInstallation;

const FATAL_PART: u64 = 7;

/// Requests with a part that may reach engines later than this after its fifth crash.
const MAX_LATE_ARRIVALS: usize = 3;
const STABLE_MS: u64 = 3_000;

/// Time from the last crash after which harmless requests begin as before.
const CALM_MS: u64 = 2 * STABLE_MS;

/// Runs an installation before and after the fatal part appears, and checks both.
fn check(
    hosts: usize,
    engines: usize,
    harmless_per_s: f64,
    change: impl Fn(&mut CrashingInstallation),
) {
    for seed in 1..=3 {
        let mut installation = CrashingInstallation::start(hosts, engines, seed);
        installation.harmless_per_s = harmless_per_s;
        installation.fatal_per_s = 5.0;
        change(&mut installation);
        installation.run(6_000);
        let appears_ms = installation.now_ms();
        installation.fatal_parts = vec![FATAL_PART];
        installation.run(20_000);
        let fifth_ms = installation.crash_time(FATAL_PART, 5).unwrap();
        let late = installation.arrivals_after(FATAL_PART, fifth_ms + STABLE_MS);
        let crashes = installation.crashes.len();
        let before = installation.begun_share(2_000, appears_ms - 1_000);
        let until = installation.now_ms() - 1_000;
        let after = installation.begun_share(fifth_ms + CALM_MS, until);
        let seen = format!(
            "{hosts} hosts, seed {seed}: {crashes} crashes, {late} late arrivals, {before:.3} and \
             {after:.3} of the harmless requests begin"
        );
        println!("{seen}");
        assert!(late <= MAX_LATE_ARRIVALS, "{seen}");
        assert!(after >= 0.9 * before, "{seen}");
    }
}

/// Guards against a part that crashes ever more engines, and against refusing harmless requests
/// that have its team and its other parts.
#[test]
fn a_fatal_part_is_barred_and_no_other() {
    check(9, 18, 40.0, |_| {});
    check(66, 95, 200.0, |_| {});
}

/// Guards against hosts that bar the parts of harmless requests, because they serve few or none
/// and so see no completions.
#[test]
fn hosts_without_harmless_requests_bar_no_harmless_part() {
    check(9, 18, 40.0, |installation| installation.idle_hosts = 5);
    check(9, 18, 1.0, |_| {});
}

/// Guards against knowledge that depends on every datagram, and against barring parts that are on
/// engines which end without their fault.
#[test]
fn lost_datagrams_and_other_ends_bar_no_harmless_part() {
    check(9, 18, 40.0, |installation| {
        installation.loss = 0.03;
        installation.random_ends_per_s = 0.5;
    });
}
