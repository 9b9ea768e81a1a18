use {
    peer::{UsageNote, WindowCounts},
    policy::{UsageLedger, UsageReport, WindowRules},
    std::{collections::BTreeMap, time::Duration},
    types::prelude::*,
};

const RULES: WindowRules = WindowRules {
    report_deadline: Duration::from_secs(10),
    window_length: Duration::from_secs(5),
};

/// Unix time at the zero of the monotonic clock.
const CLOCK_ORIGIN_UNIX_MS: u64 = 1_800_000_000_000;

/// Window that begins at [`CLOCK_ORIGIN_UNIX_MS`].
const WINDOW: u64 = CLOCK_ORIGIN_UNIX_MS / 5_000;

fn note(host: u64, incarnation: u64, now: Time, counts: &[(u64, u32)]) -> UsageNote {
    let windows = counts.iter().map(|(window, count)| WindowCounts {
        counts: vec![("team".parse().unwrap(), *count)],
        window: *window,
    });
    UsageNote {
        host: format!("host-{host}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        protocol: peer::PROTOCOL,
        unix_ms: CLOCK_ORIGIN_UNIX_MS + now.as_us() / 1_000,
        windows: windows.collect(),
        work: Vec::new(),
    }
}

fn report(window: u64, count: u64) -> Option<UsageReport> {
    let counts = BTreeMap::from([("team".parse().unwrap(), count)]);
    Some(UsageReport { counts, window })
}

#[test]
fn counts_of_all_hosts_and_incarnations_are_added_once() {
    let mut ledger = UsageLedger::new(RULES);
    assert_eq!(
        ledger.next_report(Time::from_ms(0)),
        None,
        "no host has announced the time"
    );
    let during = Time::from_ms(4_000);
    ledger.record(during, note(1, 1, during, &[(WINDOW, 10)]));
    assert_eq!(ledger.next_report(during), None);
    let after = Time::from_ms(6_600);
    ledger.record(after, note(1, 1, after, &[(WINDOW, 12)]));
    ledger.record(after, note(1, 1, during, &[(WINDOW, 10)]));
    ledger.record(after, note(1, 2, after, &[(WINDOW, 3)]));
    ledger.record(after, note(2, 7, after, &[(WINDOW, 5), (WINDOW + 1, 1)]));
    assert_eq!(ledger.next_report(after), report(WINDOW, 20));
    ledger.note_reported(WINDOW);
    assert_eq!(
        ledger.next_report(after),
        None,
        "the next window has not ended"
    );
}

/// Guards against a report that misses the last counts of a host because they are still in transit,
/// and against a report that is never made because a host is unreachable.
#[test]
fn a_silent_host_delays_a_report_only_until_its_deadline() {
    let mut ledger = UsageLedger::new(RULES);
    let during = Time::from_ms(4_000);
    ledger.record(during, note(1, 1, during, &[(WINDOW, 10)]));
    ledger.record(during, note(2, 1, during, &[(WINDOW, 10)]));
    assert_eq!(ledger.next_report(during), None);
    let after = Time::from_ms(6_600);
    ledger.record(after, note(1, 1, after, &[(WINDOW, 12)]));
    assert_eq!(ledger.next_report(after), None);
    let last = Time::from_ms(11_500);
    ledger.record(last, note(1, 1, last, &[(WINDOW, 12)]));
    assert_eq!(ledger.next_report(last), report(WINDOW, 22));
}

/// Guards against windows that shift because the wall clocks of a few hosts have jumped.
#[test]
fn a_minority_of_jumped_clocks_does_not_move_the_windows() {
    let mut ledger = UsageLedger::new(RULES);
    let now = Time::from_ms(2_000);
    for host in 0..10 {
        let jump_ms = if host < 3 { 2_400 } else { 0 };
        let mut note = note(host, 1, now, &[]);
        note.unix_ms -= jump_ms;
        ledger.record(now, note);
    }
    assert_eq!(ledger.unix_ms(now), Some(CLOCK_ORIGIN_UNIX_MS + 2_000));
}

/// Guards against two different reports of the same window, the second by a new lease holder.
#[test]
fn a_new_lease_holder_reports_no_stored_window_again() {
    let mut ledger = UsageLedger::new(RULES);
    let now = Time::from_ms(6_600);
    ledger.note_reported(WINDOW);
    ledger.record(now, note(1, 1, now, &[(WINDOW, 12), (WINDOW + 1, 4)]));
    assert_eq!(ledger.next_report(now), None);
    let later = Time::from_ms(12_000);
    ledger.record(later, note(1, 1, later, &[(WINDOW + 1, 9)]));
    assert_eq!(ledger.next_report(later), report(WINDOW + 1, 9));
}

/// Guards against a new lease holder that reports a window from only the first hosts that it
/// observes.
#[test]
fn a_new_lease_holder_waits_until_all_hosts_had_time_to_report() {
    let mut ledger = UsageLedger::new(RULES);
    ledger.note_reported(WINDOW - 1);
    let taken = Time::from_ms(8_000);
    ledger.begin_term(taken);
    ledger.record(taken, note(1, 1, taken, &[(WINDOW, 12)]));
    let soon = Time::from_ms(8_500);
    assert_eq!(ledger.next_report(soon), None);
    ledger.record(soon, note(2, 1, soon, &[(WINDOW, 30)]));
    assert_eq!(
        ledger.next_report(Time::from_ms(10_100)),
        report(WINDOW, 42)
    );
}
