//! Messages between hosts: invalid ones are rejected, and none makes the decoder panic.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    peer::{
        Cleared, Crash, CrashNote, DutyNote, Heartbeat, HeartbeatAnswer, LoadNote, MAX_TARGETS,
        MessageError, PROTOCOL, StreamMessage, StreamNote, StreamVersion, TokenGrant, TokenRequest,
        UpstreamNote, UsageNote, VersionNote,
    },
    quickcheck::{Gen, QuickCheck},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    types::{CrashSubject, Fingerprint, HostId, PromptPartKey, StreamId, UpstreamId},
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

fn stream_note() -> StreamNote {
    StreamNote::new(StreamMessage::Sent(StreamVersion {
        attempt: 1,
        software_version: "v1.1".parse().unwrap(),
        stream: StreamId::of_attempt("a1"),
    }))
}

/// Guards against a host of the previous release that decodes such a message as another one.
#[test]
fn a_stream_message_is_decoded_as_no_other_message() {
    let bytes = stream_note().to_datagram("token");
    assert_eq!(
        StreamNote::from_datagram(&bytes, "token"),
        Ok(stream_note())
    );
    assert!(StreamNote::from_datagram(&bytes, "other").is_err());
    assert!(CrashNote::from_datagram(&bytes, "token").is_err());
    assert!(DutyNote::from_datagram(&bytes, "token").is_err());
    assert!(LoadNote::from_datagram(&bytes, "token").is_err());
    assert!(TokenGrant::from_datagram(&bytes, "token").is_err());
    assert!(TokenRequest::from_datagram(&bytes, "token").is_err());
    assert!(UpstreamNote::from_datagram(&bytes, "token").is_err());
    assert!(UsageNote::from_datagram(&bytes, "token").is_err());
    assert!(VersionNote::from_datagram(&bytes, "token").is_err());
}

#[test]
fn no_changed_stream_message_is_used() {
    fn is_rejected(position: usize, byte: u8, cut: usize) -> bool {
        let mut bytes = stream_note().to_datagram("token");
        let length = bytes.len();
        let changed = std::mem::replace(&mut bytes[position % length], byte) != byte;
        bytes.truncate(length - cut % length);
        let is_whole = !changed && bytes.len() == length;
        is_whole || StreamNote::from_datagram(&bytes, "token").is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 5))
        .tests(2_000)
        .quickcheck(is_rejected as fn(usize, u8, usize) -> bool);
}

/// A crash note as the previous release reads and writes it.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PreviousCrashNote {
    cleared: Vec<(u32, Fingerprint)>,
    crashes: Vec<(u32, Fingerprint, bool, UpstreamId)>,
    host: HostId,
    protocol: u32,
}

/// Guards against hosts of two releases that don't understand each other's crash notes.
#[test]
fn the_previous_release_reads_the_requests_of_a_crash_note() {
    let fingerprint = Fingerprint::of_request("POST", "/", b"fatal");
    let crash = |subject| Crash {
        age_ms: 7,
        is_weak: false,
        subject,
        upstream: "e-1@5".parse().unwrap(),
    };
    let part = CrashSubject::PromptPart(PromptPartKey::new("model m", 0x5c));
    let note = CrashNote {
        cleared: vec![Cleared {
            age_ms: 9,
            subject: part,
        }],
        crashes: vec![crash(CrashSubject::Request(fingerprint)), crash(part)],
        host: "front-1".parse().unwrap(),
        protocol: PROTOCOL,
    };
    let tag_len = 16;
    let datagram = note.to_datagram("token");
    assert_eq!(CrashNote::from_datagram(&datagram, "token").unwrap(), note);
    let (previous, _): (PreviousCrashNote, &[u8]) =
        postcard::take_from_bytes(&datagram[tag_len..]).unwrap();
    let upstream = "e-1@5".parse().unwrap();
    assert_eq!(previous.crashes, [(7, fingerprint, false, upstream)]);
    assert!(previous.cleared.is_empty());
    let without_parts = CrashNote {
        cleared: Vec::new(),
        crashes: vec![crash(CrashSubject::Request(fingerprint))],
        ..note
    };
    let datagram = without_parts.to_datagram("token");
    let bytes = postcard::to_allocvec(&previous).unwrap();
    assert_eq!(datagram[tag_len..], bytes);
    assert_eq!(
        CrashNote::from_datagram(&datagram, "token").unwrap(),
        without_parts
    );
}
