//! Tests the ejection of all upstreams in failure domains that a host cannot reach.

use {
    crate::support::{Host, TestRequest, engines_in_domains, lookup, sent, upstreams},
    config::Upstream,
    policy::{Event, SendOrder},
    std::{collections::BTreeSet, time::Duration},
    types::prelude::*,
};

/// Failure domains of the tests; the host is in the first one.
const DOMAINS: [&str; 3] = ["north-a", "north-b", "north-c"];

/// Number of engines in each failure domain.
const ENGINES: usize = 3;

/// A host with engines in three failure domains, and its running streams.
struct StreamingHost {
    host: Host,
    streams: Vec<(RequestId, SendOrder)>,
    /// Highest id of a prompt part so far; each prompt gets two unique parts.
    next_part: u64,
}

impl StreamingHost {
    /// Starts streams on every engine, and lets all of them progress for a second.
    fn new() -> Self {
        let mut host = Host::new(0);
        host.read_directory(engines_in_domains(&DOMAINS, ENGINES), &[]);
        let mut setup = Self {
            host,
            next_part: 0,
            streams: Vec::new(),
        };
        for _ in 0..90 {
            setup.start_stream();
        }
        let used = setup.streams.iter().map(|(_, order)| &order.upstream);
        assert_eq!(used.collect::<BTreeSet<_>>().len(), DOMAINS.len() * ENGINES);
        setup.advance(1_000, &DOMAINS);
        setup
    }

    /// Sends a prompt; returns `None` if no attempt was sent.
    fn start_stream(&mut self) -> Option<SendOrder> {
        self.next_part += 2;
        let parts = [(self.next_part, 500), (self.next_part + 1, 100)];
        let (request, actions) = self
            .host
            .ask(TestRequest::prompt("question", "shop-key", &parts));
        let order = sent(&actions)?;
        self.streams.push((request, order.clone()));
        Some(order)
    }

    /// Advances the time; only streams in the given domains receive tokens.
    fn advance(&mut self, ms: u64, progressing: &[&str]) {
        for _ in 0..ms / 50 {
            self.host.advance(50);
            let as_of = self.host.now;
            self.host.handle(Event::ConfigurationConfirmed { as_of });
            for (request, order) in self.streams.clone() {
                if progressing.contains(&domain_of(&order)) {
                    self.host.handle(Event::Progressed {
                        attempt: order.attempt,
                        longest_pause: Duration::ZERO,
                        request,
                        tokens: Tokens::new(5),
                    });
                }
            }
        }
    }

    /// Returns the domains to which the next twelve requests are sent.
    fn next_domains(&mut self) -> BTreeSet<&'static str> {
        let orders: Vec<SendOrder> = (0..12).filter_map(|_| self.start_stream()).collect();
        orders.iter().map(domain_of).collect()
    }
}

fn domain_of(order: &SendOrder) -> &'static str {
    let id = order.upstream.name();
    let number: usize = id.rsplit('-').next().unwrap().parse().unwrap();
    DOMAINS[number / ENGINES]
}

/// Guards against a host that loses most requests for seconds after it is cut off from two of three
/// domains. The streams there stop at once, but no request has failed yet. The host must not wait
/// for three failures of each upstream, nor keep half of all upstreams from being ejected.
#[test]
fn a_host_cut_off_from_other_domains_uses_only_its_own() {
    let mut setup = StreamingHost::new();
    setup.advance(600, &["north-a"]);
    assert_eq!(setup.next_domains(), BTreeSet::from(["north-a"]));
}

#[test]
fn a_domain_that_is_cut_off_gets_no_new_requests() {
    let mut setup = StreamingHost::new();
    setup.advance(600, &["north-a", "north-c"]);
    assert_eq!(setup.next_domains(), BTreeSet::from(["north-a", "north-c"]));
}

/// Guards against a healthy engine that gets no requests for seconds because the two other engines
/// of its domain crash while it is idle: their stopped streams say nothing about the idle engine.
#[test]
fn an_idle_engine_is_not_ejected_with_its_failed_neighbors() {
    let mut setup = StreamingHost::new();
    let idle = format!("engine-{}", 2 * ENGINES - 1);
    let (ended, kept) = std::mem::take(&mut setup.streams)
        .into_iter()
        .partition(|(_, order)| order.upstream.name() == idle);
    setup.streams = kept;
    for (request, _) in ended {
        setup.host.handle(Event::CallerGone { request });
    }
    setup.advance(600, &["north-a", "north-c"]);
    assert_eq!(setup.next_domains(), BTreeSet::from(DOMAINS));
}

/// Guards against a service that gets no requests because its only failure domain is silent. The
/// service may still be reachable, and no other domain has replicas of it.
#[test]
fn a_service_only_in_a_silent_domain_still_gets_requests() {
    let mut setup = StreamingHost::new();
    let mut all = engines_in_domains(&DOMAINS, ENGINES);
    let services = upstreams().into_iter();
    let mut services: Vec<_> = services
        .filter(|(id, _)| id.name().starts_with("shop"))
        .collect();
    for (_, upstream) in &mut services {
        if let Upstream::Service(replica) = upstream {
            replica.failure_domain = "north-b".parse().unwrap();
        }
    }
    all.extend(services);
    setup.host.read_directory(all, &[]);
    setup.advance(600, &["north-a", "north-c"]);
    assert!(!setup.next_domains().contains("north-b"));
    assert!(sent(&setup.host.ask(lookup()).1).is_some());
}

/// Successful probes end the ejection of upstreams.
#[test]
fn a_domain_comes_back_when_its_upstreams_answer() {
    let mut setup = StreamingHost::new();
    setup.advance(600, &["north-a", "north-c"]);
    setup.advance(1_100, &DOMAINS);
    for number in ENGINES..2 * ENGINES {
        setup.host.handle(Event::ProbeAnswered {
            healthy: true,
            upstream: format!("engine-{number}").parse().unwrap(),
        });
    }
    assert_eq!(setup.next_domains(), BTreeSet::from(DOMAINS));
}

/// Guards against a host that ejects healthy upstreams after it was suspended for two seconds
/// because it mistakes its own pause for a pause of the upstreams.
#[test]
fn a_host_that_was_suspended_ejects_no_domain() {
    let mut setup = StreamingHost::new();
    setup.host.now = setup.host.now.plus_ms(2_000);
    let as_of = setup.host.now;
    setup.host.handle(Event::ConfigurationConfirmed { as_of });
    setup.host.handle(Event::Ticked);
    assert_eq!(setup.next_domains(), BTreeSet::from(DOMAINS));
}

/// A host that gets no progress from any upstream is more likely to be cut off itself. It continues
/// to send requests to all domains.
#[test]
fn a_host_that_gets_no_progress_from_any_domain_ejects_none() {
    let mut setup = StreamingHost::new();
    setup.advance(600, &[]);
    assert_eq!(setup.next_domains(), BTreeSet::from(DOMAINS));
}
