//! Tests of documents and settings: the examples are valid, and each error names its cause.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{ConfigError, Document, Settings},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    serde_json::{Value, json},
};

const EXAMPLE_DOCUMENT: &str = include_str!("../../../examples/configuration.json");
const HOST_SETTINGS: &str = include_str!("../../../examples/host.toml");

fn example_document() -> Value {
    serde_json::from_str(EXAMPLE_DOCUMENT).unwrap()
}

#[test]
fn the_examples_are_valid() {
    let document = Document::from_json(EXAMPLE_DOCUMENT).unwrap();
    assert_eq!(Document::from_json(&document.to_json()).unwrap(), document);
    Settings::from_toml(HOST_SETTINGS).unwrap();
}

#[test]
fn each_error_names_the_fault() {
    let cases: [(&str, Value, &str); 12] = [
        ("/format", json!(2), "format 2"),
        ("/classes/question/tier", json!(6), "tier (0 to 5)"),
        (
            "/classes/question/deadline_ms",
            json!(0),
            "classes.question.deadline_ms",
        ),
        (
            "/classes/question/first_token_target_ms",
            json!(20_000),
            "first_token_target_ms",
        ),
        (
            "/classes/question/objective",
            json!(1.0),
            "above 0, below 1",
        ),
        (
            "/teams/shop/default_class",
            json!("trial"),
            "default class of team shop",
        ),
        (
            "/teams/shop/max_requests_per_s",
            json!(-1.0),
            "not a valid rate",
        ),
        (
            "/teams/visitors/classes",
            json!(["description", "question"]),
            "too urgent",
        ),
        ("/trial/max_slot_share", json!(0.0), "trial.max_slot_share"),
        ("/scheduling/max_headroom_share", json!(0.9), "0 to 0.5"),
        (
            "/upstreams/orders-1/service",
            json!("stock"),
            "service stock",
        ),
        (
            "/upstreams/orders-1/address",
            json!("10.1.0.31:8000"),
            "both have address",
        ),
    ];
    for (path, value, expected) in cases {
        let mut document = example_document();
        *document.pointer_mut(path).unwrap() = value;
        let error = Document::from_value(document).unwrap_err().to_string();
        assert!(error.contains(expected), "{path}: {error}");
    }
}

/// Guards against prompt transfers that are planned with values that no engine can have.
/// Guards against names that don't fit into the paths and row keys of the own interface.
#[test]
fn names_are_plain() {
    for (list, kind) in [
        ("classes", "class"),
        ("teams", "team"),
        ("services", "service"),
    ] {
        for name in ["a name", "a/b", "G\u{fc}lde", &"n".repeat(65)] {
            let mut document = example_document();
            let (_, value) = document[list].as_object().unwrap().iter().next().unwrap();
            document[list][name] = value.clone();
            let error = Document::from_json(&document.to_string()).unwrap_err();
            assert!(error.to_string().contains(&format!("{kind} id")), "{error}");
        }
    }
}

#[test]
fn transfer_settings_must_be_in_range() {
    let set = |field: &str, value: Value| {
        let mut document = example_document();
        let upstreams = document["upstreams"].as_object_mut().unwrap();
        let is_engine = |upstream: &&mut Value| upstream["kind"] == "engine";
        let engine = upstreams.values_mut().find(is_engine).unwrap();
        engine[field] = value;
        Document::from_value(document)
    };
    for (field, value) in [
        ("prompt_token_bytes", json!(0)),
        ("prompt_token_bytes", json!(1_u64 << 40)),
        ("link", json!(0.0)),
        ("link", json!(-1.0)),
    ] {
        assert!(set(field, value.clone()).is_err(), "{field} {value}");
    }
    assert!(set("prompt_token_bytes", json!(327_680)).is_ok());
    assert!(set("link", json!(550_000.0)).is_ok());
}

#[test]
fn duplicate_keys_and_unknown_fields_are_rejected() {
    let mut document = example_document();
    document["teams"]["visitors"]["key_sha256"] = document["teams"]["shop"]["key_sha256"].clone();
    let error = Document::from_value(document).unwrap_err();
    assert!(matches!(error, ConfigError::DuplicateKey { .. }), "{error}");
    let mut document = example_document();
    document["teams"]["shop"]["max_rate"] = json!(1);
    let error = Document::from_value(document).unwrap_err().to_string();
    assert!(error.contains("unknown field `max_rate`"), "{error}");
}

/// The example document with up to seven random edits.
#[derive(Clone, Debug)]
struct CorruptedDocument(String);

impl Arbitrary for CorruptedDocument {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut text: Vec<char> = EXAMPLE_DOCUMENT.chars().collect();
        for _ in 0..u8::arbitrary(g) % 8 {
            let index = usize::arbitrary(g) % text.len().max(1);
            if text.is_empty() {
                break;
            }
            match u8::arbitrary(g) % 3 {
                0 => text[index] = char::arbitrary(g),
                1 => text.truncate(index + 1),
                _ => {
                    text.remove(index);
                }
            }
        }
        Self(text.into_iter().collect())
    }
}

#[test]
fn corrupted_documents_never_panic_the_parser() {
    fn rejects_or_round_trips(text: CorruptedDocument) -> bool {
        let again = Document::from_json(&text.0).map(|document| document.to_json());
        again.is_err() || Document::from_json(&again.unwrap()).is_ok()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(300)
        .quickcheck(rejects_or_round_trips as fn(CorruptedDocument) -> bool);
}
