//! Tests which engines serve pause-sensitive streams and which serve long prompts, where hosts
//! receive no load notes from each other.

use {
    crate::support::{Host, TestRequest, engines, sent},
    policy::Event,
    std::collections::{BTreeMap, BTreeSet},
};

const DOCUMENT_TOKENS: u32 = 13_000;

/// Sends a prompt of the class with the shortest pause target, and returns its engine.
fn place_stream(host: &mut Host, unique_part: u64) -> String {
    place(host, "question", &[(unique_part, 100)])
}

/// Sends a long prompt that starts with a document, and returns its engine.
fn place_document(host: &mut Host, document: u64, unique_part: u64) -> String {
    place(
        host,
        "summary",
        &[(document, DOCUMENT_TOKENS), (unique_part, 3_000)],
    )
}

/// Sends a prompt, cancels it after 20 ms, and returns its engine.
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

/// Guards against streams and prompts of 16,000 tokens that share engines on a large fleet. Each of
/// 40 hosts gets a few requests a second and knows little of the load. If the hosts separate
/// streams and long prompts only by the load that they know, both meet on every engine: half of the
/// most urgent class then misses its target for the longest pause or the first token, while engines
/// are idle seven eighths of the time.
///
/// All hosts must also choose the same engine for a document, so that it is prefilled once.
#[test]
fn isolated_hosts_separate_streams_and_documents_consistently() {
    let mut streams = BTreeSet::new();
    let mut documents: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for seed in 0..40 {
        let mut host = host_with_engines(seed, 24);
        // Each host gets a different mix and order of requests.
        for number in 0..60 {
            let class_choice = (number * 7 + seed * 13) % 10;
            if class_choice < 3 + seed % 2 {
                streams.insert(place_stream(&mut host, 10_000 * seed + number));
            } else {
                let document = number % 8;
                let engine = place_document(&mut host, 90 + document, 20_000 * seed + number);
                // The first documents can arrive before the host has had a stream.
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

/// Guards against a fixed share of engines for streams: where nearly all requests are streams, they
/// would share few engines, and the crash of an engine would interrupt more of them.
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

/// Guards against an unused engine in an installation of two that starts with streams only: an
/// engine must not be kept free for kinds of requests that have not arrived yet.
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

/// Guards against engines that stay reserved for streams where there are none: a third of the
/// engines would be idle in an overload.
#[test]
fn documents_use_all_engines_without_streams() {
    let mut host = host_with_engines(0, 12);
    let engines: BTreeSet<String> = (0..200)
        .map(|number| place_document(&mut host, 1_000 + number, number))
        .collect();
    assert!(engines.len() >= 11, "documents on {engines:?}");
}

/// Guards against a strict separation: a burst of 300 streams would queue on the engines reserved
/// for streams while the other engines are idle.
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
