//! Tests the display and parsing of the newtypes, and the ids and verdicts.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    quickcheck::{Gen, QuickCheck},
    std::{fmt::Display, str::FromStr},
    types::prelude::*,
};

fn round_trips<T: Display + FromStr + PartialEq>(value: &T) -> bool {
    value.to_string().parse::<T>().ok().as_ref() == Some(value)
}

#[test]
fn displayed_values_parse_back() {
    fn holds(number: u64, small: u8, text: String) -> bool {
        let attempt = AttemptId::new(Incarnation::new(number), u64::from(small));
        let hash = KeyHash::of_key(&text);
        let tier = Tier::new(small % 6).unwrap();
        round_trips(&attempt)
            && round_trips(&hash)
            && round_trips(&tier)
            && round_trips(&Tokens::new(7))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 2))
        .quickcheck(holds as fn(u64, u8, String) -> bool);
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
        assert!(round_trips(&verdict));
    }
}

#[test]
fn parsers_do_not_panic() {
    fn holds(text: String) -> bool {
        let team = text.parse::<TeamId>();
        let _ = text.parse::<AttemptId>();
        let _ = text.parse::<KeyHash>();
        let _ = text.parse::<Rate>();
        let _ = text.parse::<IdempotencyKey>();
        team.is_err() || team.unwrap().as_str() == text
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(1_000)
        .quickcheck(holds as fn(String) -> bool);
}

/// Guards against bandwidths with which a transfer takes no time or never ends.
#[test]
fn bandwidth_is_positive_and_finite() {
    for wrong in ["0Mbit/s", "-1Mbit/s", "NaN", "inf", "fast"] {
        assert!(wrong.parse::<Bandwidth>().is_err(), "{wrong}");
    }
    let bandwidth = Bandwidth::megabits_per_s(1_000.0).unwrap();
    assert!(round_trips(&bandwidth));
    assert_eq!(bandwidth.millis_for(125_000.0), 1.0);
}

#[test]
fn invalid_ids_are_rejected_with_a_reason() {
    let error = "north a"
        .parse::<FailureDomainId>()
        .unwrap_err()
        .to_string();
    let expected = "failure domain id holds ' ', expected letters, digits, `.`, `_` or `-`";
    assert_eq!(error, expected);
    let error = "x".repeat(65).parse::<HostId>().unwrap_err().to_string();
    assert_eq!(error, "host id is 65 bytes long, expected 1 to 64");
}

#[test]
fn join_returns_the_worse_verdict() {
    assert_eq!(
        Verdict::NotRun.join(Verdict::MayHaveRun),
        Verdict::MayHaveRun
    );
    assert_eq!(
        Verdict::MayHaveRun.join(Verdict::NotRun),
        Verdict::MayHaveRun
    );
    assert_eq!(Verdict::NotRun.join(Verdict::NotRun), Verdict::NotRun);
}

#[test]
fn different_requests_have_different_fingerprints() {
    let one = Fingerprint::of_request("POST", "/ab", b"c");
    assert_eq!(one, Fingerprint::of_request("POST", "/ab", b"c"));
    for other in [
        Fingerprint::of_request("POST", "/a", b"bc"),
        Fingerprint::of_request("PUT", "/ab", b"c"),
        Fingerprint::of_request("POST", "/ab", b"d"),
    ] {
        assert_ne!(one, other);
    }
}

#[test]
fn a_restarted_upstream_has_another_id() {
    let first: UpstreamId = "engine-1@1000".parse().unwrap();
    let later = first.clone().with_started_ms(Some(2_000));
    assert!(round_trips(&first) && round_trips(&later));
    assert_eq!(
        (first.name(), first.started_ms()),
        ("engine-1", Some(1_000))
    );
    assert!(first.is_replaced_by(&later) && !later.is_replaced_by(&first));
    assert!("engine-1@".parse::<UpstreamId>().is_err());
    assert!("engine-1@1@2".parse::<UpstreamId>().is_err());
}
