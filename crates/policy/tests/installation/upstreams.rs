//! Tests which upstreams get requests when directory entries are removed, expire or are leaving.

use {
    crate::support::{Host, engines, lookup, sent, upstreams},
    policy::Event,
};

/// Guards against refusals of all requests after an outage of the store. Entries of upstreams
/// expire during the outage, so the first reading afterwards lists none. A missing entry must not
/// be taken for a removed one until running upstreams had time to be listed again.
#[test]
fn keeps_upstreams_whose_entries_may_have_expired() {
    let mut host = Host::new(0);
    host.lose_directory(2_000);
    host.read_directory(engines(0), &[]);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert!(sent(&host.ask(lookup()).1).is_some());

    host.advance(1_900);
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_some());

    host.advance(200);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

/// Guards against requests to an upstream that left long ago: while the store is available, no
/// entry can have expired, so a missing entry was removed.
#[test]
fn drops_a_missing_upstream_at_once_while_the_store_is_available() {
    let mut host = Host::new(0);
    host.advance(3_000);
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

/// Guards against requests to an upstream whose entry was removed while only the host that relays
/// the directory could not read the store. The store itself was available, so no entry can have
/// expired.
#[test]
fn drops_a_missing_upstream_at_once_where_the_store_stayed_available() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    host.advance(2_000);
    host.handle(Event::DirectoryReachableAgain);
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

/// Guards against requests to an upstream that left while the host had no connection to the store.
/// The other entries are still listed, so the missing entry did not expire.
#[test]
fn an_upstream_that_left_during_a_hosts_store_outage_gets_no_requests() {
    let mut host = Host::new(0);
    host.lose_directory(2_000);
    let mut listed = upstreams();
    listed.remove(&"shop-1".parse().unwrap());
    host.read_directory(listed, &[]);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    for _ in 0..20 {
        let (request, actions) = host.ask(lookup());
        let order = sent(&actions).unwrap();
        assert_ne!(order.upstream.name(), "shop-1");
        host.finish(&order, request);
        host.advance(100);
    }
}

/// Guards against refusals after an outage in which most entries expired, where some upstreams are
/// listed again before others.
#[test]
fn upstreams_that_expired_together_are_kept_while_entries_come_back() {
    let mut host = Host::new(0);
    host.lose_directory(4_000);
    for restored in ["shop-0", "shop-1"] {
        let mut listed = upstreams();
        listed.retain(|id, _| id.name() == restored);
        host.read_directory(listed, &[]);
        host.advance(500);
        let unlisted = host.controller.unlisted();
        assert!(unlisted.contains(&"shop-2".parse().unwrap()), "{restored}");
    }
    host.advance(1_100);
    assert_eq!(host.controller.unlisted(), []);
}

/// Guards against refusals where only leaving upstreams are listed after an outage.
#[test]
fn an_expired_upstream_is_kept_where_all_listed_upstreams_are_leaving() {
    let mut host = Host::new(0);
    host.read_directory(upstreams(), &["shop-0", "shop-1"]);
    host.lose_directory(4_000);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    let mut listed = upstreams();
    listed.remove(&"shop-2".parse().unwrap());
    host.read_directory(listed, &["shop-0", "shop-1"]);
    let order = sent(&host.ask(lookup()).1).unwrap();
    assert_eq!(order.upstream.name(), "shop-2");
}

/// Guards against requests to upstreams that left, where a host learns late that the store is
/// available again: the retention time counts from the return of the store, not from the message.
#[test]
fn retention_of_missing_upstreams_starts_when_the_store_returns() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    host.advance(4_000);
    let at = host.now;
    host.advance(1_800);
    host.handle(Event::DirectoryRegained { at });
    host.read_directory(engines(0), &[]);
    assert_eq!(host.controller.unlisted().len(), 6);
    host.advance(210);
    assert_eq!(host.controller.unlisted(), []);
}

/// Guards against requests to an upstream that announced its departure before an outage of the
/// store. Its entry is missing after the outage, but must not be taken for an expired one.
#[test]
fn does_not_keep_a_leaving_upstream() {
    let mut host = Host::new(0);
    let all = ["shop-0", "shop-1", "shop-2"];
    host.read_directory(upstreams(), &all);
    host.handle(Event::DirectoryLost);
    host.handle(Event::DirectoryRegained { at: host.now });
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

#[test]
fn sends_nothing_new_to_an_upstream_that_is_leaving() {
    let mut host = Host::new(0);
    host.read_directory(upstreams(), &["shop-0", "shop-2"]);
    for _ in 0..6 {
        let order = sent(&host.ask(lookup()).1).unwrap();
        assert_eq!(order.upstream.name(), "shop-1");
    }
}
