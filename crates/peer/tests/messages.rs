//! Messages between hosts: invalid ones are rejected, and none makes the decoder panic.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    peer::{Heartbeat, HeartbeatAnswer, MAX_TARGETS, MessageError, PROTOCOL},
    quickcheck::{Gen, QuickCheck},
    serde_json::{Value, json},
};

fn heartbeat() -> Value {
    json!({
        "demand": {"model small": {"by_tier": [1, 0, 2, 0, 0, 9]}},
        "failure_domain": "a", "host": "a-1", "incarnation": 7, "leaving": ["engine-1"],
        "phase": "serving", "protocol": PROTOCOL, "version": 3,
    })
}

fn parse(value: Value) -> Heartbeat {
    serde_json::from_value(value).unwrap()
}

#[test]
fn a_neighbouring_version_is_understood_and_others_are_not() {
    let mut newer = heartbeat();
    newer["protocol"] = json!(PROTOCOL + 1);
    newer["added_later"] = json!("is ignored");
    assert_eq!(parse(newer).check(), Ok(()));
    let mut far = heartbeat();
    far["protocol"] = json!(PROTOCOL + 2);
    let found = PROTOCOL + 2;
    assert_eq!(parse(far).check(), Err(MessageError::Protocol { found }));
}

#[test]
fn an_overlong_message_is_not_used() {
    let mut long = heartbeat();
    for number in 0..=MAX_TARGETS {
        long["demand"][format!("model m{number}")] = json!({"by_tier": [0, 0, 0, 0, 0, 0]});
    }
    assert!(matches!(
        parse(long).check(),
        Err(MessageError::Size { .. })
    ));
}

#[test]
fn shares_that_hold_too_long_are_not_used() {
    let answer: HeartbeatAnswer = serde_json::from_value(json!({
        "grants": [], "incarnation": 1, "leaving": [], "protocol": PROTOCOL,
        "valid_ms": 86_400_000, "version": null,
    }))
    .unwrap();
    assert!(answer.check().is_err());
}

#[test]
fn no_bytes_make_the_decoder_panic() {
    fn does_not_panic(position: usize, byte: u8, cut: usize) -> bool {
        let mut text = heartbeat().to_string().into_bytes();
        let length = text.len();
        text[position % length] = byte;
        text.truncate(length - cut % 4);
        let parsed: Result<Heartbeat, _> = serde_json::from_slice(&text);
        parsed.is_err() || parsed.unwrap().check().is_ok() || byte.is_ascii()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 4))
        .tests(2_000)
        .quickcheck(does_not_panic as fn(usize, u8, usize) -> bool);
}
