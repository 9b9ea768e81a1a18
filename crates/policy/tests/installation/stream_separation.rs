//! Which engines streams share with long prompts, where hosts learn nothing of each other.

use {
    crate::support::{Host, TestRequest, engines, sent},
    policy::Event,
    std::collections::{BTreeMap, BTreeSet},
};

const DOCUMENT_TOKENS: u32 = 13_000;

/// Where a stream of the class with the shortest target for pauses goes.
fn place_stream(host: &mut Host, unique_part: u64) -> String {
    place(host, "question", &[(unique_part, 100)])
}

/// Where a prompt goes that shares a document.
fn place_document(host: &mut Host, document: u64, unique_part: u64) -> String {
    place(
        host,
        "summary",
        &[(document, DOCUMENT_TOKENS), (unique_part, 3_000)],
    )
}

fn place(host: &mut Host, class: &'static str, parts: &[(u64, u32)]) -> String {
    let (request, actions) = host.ask(TestRequest::prompt(class, "first-key", parts));
    let engine = sent(&actions).unwrap().upstream.to_string();
    host.advance(20);
    host.handle(Event::CallerGone { request });
    engine
}

fn host_with_engines(seed: u64, engine_count: usize) -> Host {
    let mut host = Host::new(seed);
    host.read_directory(engines(engine_count), &[]);
    host
}

/// Symptom: half of the most urgent class is late by its longest pause or its first token
/// on a large fleet, though engines are idle seven eighths of the time. Events: 40 hosts
/// get a few requests a second each, and place streams and prompts of 16,000 tokens by what
/// they sent themselves. Cause: nothing but the load that a host knows of keeps them apart,
/// and a host knows little. Before, streams and documents met on every engine.
///
/// Each document has one engine for all hosts, too: it is read once.
#[test]
fn isolated_hosts_separate_streams_and_documents_consistently() {
    let mut streams = BTreeSet::new();
    let mut documents: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for seed in 0..40 {
        let mut host = host_with_engines(seed, 24);
        // Each host gets a mix of its own, and another order.
        for number in 0..60 {
            let class_choice = (number * 7 + seed * 13) % 10;
            if class_choice < 3 + seed % 2 {
                streams.insert(place_stream(&mut host, 10_000 * seed + number));
            } else {
                let document = number % 8;
                let engine = place_document(&mut host, 90 + document, 20_000 * seed + number);
                // The first ones come before a host has seen a stream.
                if number >= 16 {
                    documents.entry(document).or_default().insert(engine);
                }
            }
        }
    }
    let copies: usize = documents.values().map(BTreeSet::len).sum();
    assert!(
        copies <= documents.len() + 2,
        "{copies} copies: {documents:?}"
    );
    let used = documents.values().flatten();
    let shared: Vec<&String> = used.filter(|engine| streams.contains(*engine)).collect();
    assert!(shared.is_empty(), "streams and documents on {shared:?}");
    assert!((6..=12).contains(&streams.len()), "streams on {streams:?}");
}

/// Symptom: streams share few engines, and more of them are lost with one. Events: nearly
/// all that is asked for are streams. Cause: a fixed part of the engines is for them.
#[test]
fn streams_use_all_engines_without_other_requests() {
    let mut host = host_with_engines(0, 12);
    let mut used = BTreeSet::new();
    for number in 0..200 {
        let engine = place_stream(&mut host, number);
        if number >= 50 {
            used.insert(engine);
        }
    }
    assert!(used.len() >= 11, "streams on {used:?}");
}

/// Symptom: the second of two engines gets nothing. Events: an installation of two engines
/// starts, and is asked for streams. Cause: a part of the engines is kept for what was not
/// asked for yet.
#[test]
fn the_first_streams_of_a_small_installation_use_both_engines() {
    let mut host = host_with_engines(0, 2);
    let used: BTreeSet<String> = (0..8)
        .map(|number| {
            let parts = [(50 + number, 350), (90 + number, 100)];
            place(&mut host, "question", &parts)
        })
        .collect();
    assert_eq!(used.len(), 2, "streams on {used:?}");
}

/// Symptom: a third of the engines is idle in an overload. Events: nobody asks for streams.
/// Cause: engines are kept for them all the same.
#[test]
fn documents_use_all_engines_without_streams() {
    let mut host = host_with_engines(0, 12);
    let engines: BTreeSet<String> = (0..200)
        .map(|number| place_document(&mut host, 1_000 + number, number))
        .collect();
    assert!(engines.len() >= 11, "documents on {engines:?}");
}

/// Symptom: a burst of streams waits behind one another while other engines are idle.
/// Events: 300 streams at once. Cause: what belongs to the other side is never used.
#[test]
fn a_burst_of_streams_also_uses_engines_for_documents() {
    let mut host = host_with_engines(0, 12);
    for number in 0..60 {
        place_document(&mut host, 1_000 + number, number);
        if number % 4 == 0 {
            place_stream(&mut host, 5_000 + number);
        }
    }
    let running: BTreeSet<String> = (0..300)
        .map(|number| {
            let parts = [(7_000 + number, 100)];
            let (_, actions) = host.ask(TestRequest::prompt("question", "first-key", &parts));
            sent(&actions).unwrap().upstream.to_string()
        })
        .collect();
    assert_eq!(running.len(), 12, "streams on {running:?}");
}
