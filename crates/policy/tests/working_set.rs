//! Tests of which upstreams the hosts know, for installations of different sizes.

#![allow(clippy::unwrap_used, missing_docs)]

use {
    policy::{UpstreamCensus, WorkingSet},
    std::collections::{BTreeMap, BTreeSet},
    types::prelude::*,
};

const DOMAINS: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];

/// Number of upstreams that register between two divisions of the working set.
const NEW_UPSTREAMS_PER_DIVISION: usize = 1_600;

type Upstreams = Vec<(UpstreamId, &'static str, FailureDomainId)>;

/// Creates `engines` engines and `replicas` replicas of a service without a model, spread over the
/// failure domains.
fn upstreams(engines: usize, replicas: usize) -> Upstreams {
    let services = [("engines", engines), ("shop", replicas)];
    let all = services.into_iter().flat_map(|(service, count)| {
        (0..count).map(move |number| {
            let id = format!("{service}-{number}").parse().unwrap();
            let domain = DOMAINS[number % DOMAINS.len()].parse().unwrap();
            (id, service, domain)
        })
    });
    all.collect()
}

fn census(upstreams: &Upstreams) -> UpstreamCensus {
    let mut census = UpstreamCensus::default();
    for (id, service, domain) in upstreams {
        census.note(id.name(), service, domain);
    }
    census
}

fn divide(own: &str, upstreams: &Upstreams) -> WorkingSet {
    WorkingSet::divide(&own.parse().unwrap(), &census(upstreams))
}

/// Upstreams that the hosts of a failure domain know.
fn known<'a>(own: &str, upstreams: &'a Upstreams) -> BTreeSet<&'a UpstreamId> {
    ids_up_to_level(own, upstreams, WorkingSet::KNOWN_LEVEL)
}

/// Upstreams that the hosts of all failure domains know, as computed by failure domain `own`.
fn known_everywhere<'a>(own: &str, upstreams: &'a Upstreams) -> BTreeSet<&'a UpstreamId> {
    ids_up_to_level(own, upstreams, 0)
}

fn ids_up_to_level<'a>(own: &str, upstreams: &'a Upstreams, level: u8) -> BTreeSet<&'a UpstreamId> {
    let census = census(upstreams);
    let working_set = WorkingSet::divide(&own.parse().unwrap(), &census);
    let ids = upstreams.iter().map(|(id, ..)| id);
    ids.filter(|id| census.level(id.name(), &working_set) <= level)
        .collect()
}

/// Known upstreams by service and failure domain.
fn counts(own: &str, upstreams: &Upstreams) -> BTreeMap<String, usize> {
    let known = known(own, upstreams);
    let mut counts = BTreeMap::new();
    for (id, service, domain) in upstreams {
        if known.contains(id) {
            *counts.entry(format!("{service} in {domain}")).or_default() += 1;
        }
    }
    counts
}

#[test]
fn knows_all_upstreams_where_they_are_few() {
    for (engines, replicas) in [(9, 3), (117, 6), (256, 256)] {
        let upstreams = upstreams(engines, replicas);
        assert_eq!(divide("hall-a", &upstreams).division_hash(), 0);
        assert_eq!(known("hall-a", &upstreams).len(), engines + replicas);
    }
}

/// Guards against hosts that store, receive and scan a number of upstreams that grows with the size
/// of the installation.
#[test]
fn knows_no_more_upstreams_in_an_installation_of_twice_the_size() {
    let mut table = String::new();
    for hosts in [300, 985, 1_970, 3_940] {
        let upstreams = upstreams(hosts * 19 / 2, hosts / 2);
        let known = counts("hall-a", &upstreams);
        let own_domain = known["engines in hall-a"];
        let other_domains: usize = DOMAINS[1..]
            .iter()
            .map(|domain| known[&format!("engines in {domain}")])
            .sum();
        let replicas = known.iter().filter(|(place, _)| place.starts_with("shop"));
        let replicas: usize = replicas.map(|(_, count)| count).sum();
        let all = upstreams.len();
        table += &format!(
            "{hosts} hosts, {all} upstreams: {own_domain} near, {other_domains} far, {replicas} of the small service\n"
        );
        assert!((100..=280).contains(&own_domain), "{table}");
        assert!(own_domain + other_domains <= 256 + 320, "{table}");
        assert!(replicas <= 256 + 320, "{table}");
    }
    assert_eq!(
        table,
        "\
300 hosts, 3000 upstreams: 133 near, 161 far, 150 of the small service
985 hosts, 9849 upstreams: 219 near, 238 far, 308 of the small service
1970 hosts, 19700 upstreams: 223 near, 234 far, 410 of the small service
3940 hosts, 39400 upstreams: 228 near, 240 far, 411 of the small service
"
    );
}

/// Guards against a shared prompt prefix that each host sends to a different engine, so that each
/// of these engines computes the prefix.
#[test]
fn hosts_of_a_domain_know_the_same_upstreams_whatever_order_they_read_them_in() {
    let upstreams = upstreams(9_525, 475);
    let mut reversed = upstreams.clone();
    reversed.reverse();
    let division = divide("hall-b", &upstreams).division_hash();
    assert_eq!(division, divide("hall-b", &reversed).division_hash());
    assert_ne!(division, 0);
    assert_eq!(known("hall-b", &upstreams), known("hall-b", &reversed));
    assert_ne!(division, divide("hall-c", &upstreams).division_hash());
}

/// Guards against a shared prompt prefix that each failure domain sends to a different engine. All
/// domains know some engines in common, so one engine can compute the prefix for all.
#[test]
fn hosts_of_all_domains_have_upstreams_in_common() {
    let upstreams = upstreams(9_525, 475);
    let known_to_all = known_everywhere("hall-a", &upstreams);
    for domain in DOMAINS {
        assert_eq!(known_everywhere(domain, &upstreams), known_to_all);
        assert!(known(domain, &upstreams).is_superset(&known_to_all));
    }
    let engines = known_to_all
        .iter()
        .filter(|id| id.name().starts_with("engines"));
    assert!(
        (160..=320).contains(&engines.count()),
        "{}",
        known_to_all.len()
    );
}

/// Guards against a host that knows many more upstreams than it needs while upstreams register, and
/// against hosts that fetch all upstreams again whenever a few register or leave.
#[test]
fn a_division_follows_upstreams_that_become_many_and_stays_while_few_come_and_go() {
    let domain: FailureDomainId = "hall-a".parse().unwrap();
    let mut census = UpstreamCensus::default();
    let mut working_set = WorkingSet::divide(&domain, &census);
    for (number, (id, service, place)) in upstreams(9_525, 475).iter().enumerate() {
        census.note(id.name(), service, place);
        if !number.is_multiple_of(NEW_UPSTREAMS_PER_DIVISION) {
            continue;
        }
        let now = WorkingSet::divide(&domain, &census);
        assert!(
            now.is_within(&working_set),
            "a new division needs no additional rows"
        );
        working_set = now;
        let levels = census.levels(&working_set);
        let known = levels
            .iter()
            .filter(|(_, level)| *level <= WorkingSet::KNOWN_LEVEL);
        assert!(known.count() <= 1_200, "{number} upstreams");
    }
    working_set = WorkingSet::divide(&domain, &census);
    for number in 0..190 {
        census.forget(&format!("engines-{number}"));
    }
    assert_eq!(working_set, WorkingSet::divide(&domain, &census));
}
