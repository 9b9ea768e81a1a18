//! Retries where hosts are so many that each has about one beyond the ratio.

use {
    crate::support::{APPLY_LIMIT, Host, KEY_KNOWLEDGE_LIMIT, lookup, sent},
    policy::{Event, RelayRules},
    std::time::Duration,
    types::prelude::*,
};

const WINDOW: Duration = Duration::from_secs(10);

const RATIO: f64 = 0.2;

/// A host of an installation of so many, whose hosts may make so many retries beyond the ratio.
fn host(number: u64, hosts: usize, retry_extra: u32) -> Host {
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

fn pass_in_touch(host: &mut Host, span: Duration) {
    let end = host.now + span;
    while host.now < end {
        host.advance(500);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
}

/// Whether a call is sent again whose first attempt fails.
fn repeats(host: &mut Host) -> bool {
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

/// Guards against failures that no host repeats, although the installation's budget is hardly
/// used: two calls in ten seconds at each of a thousand hosts, and one of seven answers is an
/// error.
#[test]
fn a_host_with_few_requests_repeats_the_one_that_fails() {
    let mut host = host(0, 985, 1_040);
    pass_in_touch(&mut host, WINDOW);
    let mut repeated = 0;
    for number in 0..42 {
        if number % 7 == 3 {
            repeated += usize::from(repeats(&mut host));
        } else {
            let (id, actions) = host.ask(lookup());
            host.finish(&sent(&actions).unwrap(), id);
        }
        pass_in_touch(&mut host, Duration::from_secs(5));
    }
    assert_eq!(repeated, 6);
}

/// Guards against more retries than the installation allows when all hosts need them at once,
/// and half of them have just started again.
#[test]
fn all_hosts_together_stay_within_the_budget() {
    const HOSTS: u64 = 200;
    const EXTRA: u32 = 212;
    const CALLS: usize = 4;
    let (mut asked, mut repeated) = (0_u32, 0_u32);
    let mut fail_all = |host: &mut Host| {
        for _ in 0..CALLS {
            asked += 1;
            repeated += u32::from(repeats(host));
            host.advance(100);
        }
    };
    for number in 0..HOSTS {
        let mut aged = host(number, HOSTS as usize, EXTRA);
        pass_in_touch(&mut aged, WINDOW);
        fail_all(&mut aged);
        if number % 2 == 0 {
            fail_all(&mut host(number, HOSTS as usize, EXTRA));
        }
    }
    let allowed = RATIO * f64::from(asked) + f64::from(EXTRA);
    assert!(f64::from(repeated) <= allowed, "{repeated} of {allowed}");
    assert!(u64::from(repeated) >= HOSTS, "only {repeated}");
}
