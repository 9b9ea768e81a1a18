//! Retries in installations with so many hosts that the budget gives each host only about one
//! retry beyond the ratio.

use {
    crate::support::{APPLY_LIMIT, Host, KEY_KNOWLEDGE_LIMIT, lookup, sent},
    policy::{Event, RelayRules},
    std::time::Duration,
    types::prelude::*,
};

const WINDOW: Duration = Duration::from_secs(10);

const RATIO: f64 = 0.2;

/// Creates a host of an installation with `hosts` hosts, which together may make `retry_extra`
/// retries beyond the ratio.
fn new_host(number: u64, hosts: usize, retry_extra: u32) -> Host {
    let mut host = Host::new(number);
    host.handle(Event::RulesChanged(RelayRules {
        apply_limit: APPLY_LIMIT,
        first_start: false,
        key_knowledge_limit: KEY_KNOWLEDGE_LIMIT,
        retry_extra,
        retry_ratio: RATIO,
        retry_window: WINDOW,
        usage_window: None,
    }));
    host.list_hosts(hosts);
    host
}

fn pass_with_confirmed_configuration(host: &mut Host, span: Duration) {
    let end = host.now + span;
    while host.now < end {
        host.advance(500);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
}

/// Fails the first attempt of a call, and returns whether the host retries it.
fn is_retried(host: &mut Host) -> bool {
    let (id, actions) = host.ask(lookup());
    let first = sent(&actions).unwrap();
    let actions = host.fail(
        &first,
        id,
        FailureCause::ErrorStatus,
        Verdict::MayHaveRun,
        false,
    );
    let second = sent(&actions);
    if let Some(second) = &second {
        host.finish(second, id);
    }
    second.is_some()
}

/// Guards against hosts that never retry although the retry budget of the installation is hardly
/// used. Here, each of a thousand hosts gets two calls in ten seconds, and one answer in seven is
/// an error.
#[test]
fn a_host_with_few_requests_retries_a_failed_one() {
    let mut host = new_host(0, 985, 1_040);
    pass_with_confirmed_configuration(&mut host, WINDOW);
    let mut retried = 0;
    for number in 0..42 {
        if number % 7 == 3 {
            retried += usize::from(is_retried(&mut host));
        } else {
            let (id, actions) = host.ask(lookup());
            host.finish(&sent(&actions).unwrap(), id);
        }
        pass_with_confirmed_configuration(&mut host, Duration::from_secs(5));
    }
    assert_eq!(retried, 6);
}

/// Guards against exceeding the retry budget of the installation when all hosts retry at once
/// after half of them have just restarted.
#[test]
fn all_hosts_together_stay_within_the_retry_budget() {
    const HOSTS: u64 = 200;
    const EXTRA: u32 = 212;
    const CALLS: usize = 4;
    let (mut asked, mut retried) = (0_u32, 0_u32);
    let mut fail_all = |host: &mut Host| {
        for _ in 0..CALLS {
            asked += 1;
            retried += u32::from(is_retried(host));
            host.advance(100);
        }
    };
    for number in 0..HOSTS {
        let mut long_running = new_host(number, HOSTS as usize, EXTRA);
        pass_with_confirmed_configuration(&mut long_running, WINDOW);
        fail_all(&mut long_running);
        if number % 2 == 0 {
            fail_all(&mut new_host(number, HOSTS as usize, EXTRA));
        }
    }
    let allowed = RATIO * f64::from(asked) + f64::from(EXTRA);
    assert!(
        f64::from(retried) <= allowed,
        "{retried} retries, {allowed} allowed"
    );
    assert!(u64::from(retried) >= HOSTS, "only {retried} retries");
}
