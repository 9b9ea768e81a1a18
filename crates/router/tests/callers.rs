//! Validation of requests, and the error responses to invalid ones.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    config::Settings,
    site::Site,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    types::prelude::*,
};

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_with_a_code() {
    let site = Site::with_engines(1).and_service("orders").start().await;
    let ask = |class: &str| site.ask(class);
    let cases = [
        (ask("question").with_team("nobody"), (401, "unknown_key")),
        (ask("nothing"), (400, "unknown_class")),
        (
            ask("question").with_team("visitors"),
            (403, "class_not_allowed"),
        ),
        (ask("question").for_model("large"), (404, "unknown_model")),
        (ask("order").at_service("stock"), (404, "unknown_service")),
        (ask("order").at_service("no%20name"), (400, "bad_path")),
        (ask("question").at_path("/v1/nothing"), (404, "not_found")),
        (
            ask("question").at_path("/v1/models"),
            (405, "method_not_allowed"),
        ),
        (ask("question").with_body("{"), (400, "bad_body")),
        (
            ask("question").with_body("{\"messages\": []}"),
            (400, "bad_body"),
        ),
        (ask("bad class"), (400, "bad_header")),
        (ask("order").with_key(""), (400, "bad_header")),
        (
            ask("order").with_header("x-idempotent", "perhaps"),
            (400, "bad_header"),
        ),
    ];
    for (ask, (status, code)) in cases {
        let answer = ask.send().await;
        assert_eq!(answer.refusal(), (status, code, "not-run"));
    }
    assert_eq!(site.log.runs().len(), 0, "a refused request ran");
    site.ask("question")
        .tagged("after")
        .send()
        .await
        .assert_whole("after", 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_http_and_invalid_utf8_are_refused() {
    let site = Site::with_engines(1).start().await;
    let answer = site.send_raw(b"\x16\x03\x01 nonsense\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let mut request = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        authorization: Bearer shop-key\r\ncontent-length: 4\r\n\r\n"
        .to_vec();
    request.extend([0xff, 0xfe, b'{', b'}']);
    let answer = site.send_raw(&request).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("bad_body"), "{answer}");
    let nul = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-request-class: \xff\r\n\
        authorization: Bearer shop-key\r\ncontent-length: 0\r\n\r\n";
    let answer = site.send_raw(nul).await;
    assert!(answer.contains("bad_header"), "{answer}");
    site.ask("question").send().await.assert_whole("tag", 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let small = |settings: &mut Settings| settings.limits.max_body_bytes = ByteSize::new(1_000);
    let site = Site::with_engines(1).settings(small).start().await;
    let answer = site
        .ask("question")
        .with_body(&"x".repeat(1_001))
        .send()
        .await;
    assert_eq!(answer.refusal(), (413, "body_too_large", "not-run"));
}

/// Guards against slow connections that accumulate until they exhaust the host. A caller sends
/// the request head and part of the body, then nothing. Without a timeout the host waits for the
/// rest forever.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_body_times_out() {
    let quick = |settings: &mut Settings| settings.limits.body_timeout_ms = 50;
    let site = Site::with_engines(1).settings(quick).start().await;
    let mut stream = TcpStream::connect(site.address()).await.unwrap();
    let part = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        authorization: Bearer shop-key\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(part).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Guards against engines that compute answers nobody reads. A caller requests a long answer
/// and closes its connection. Without cancellation the engine computes the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_frees_its_engine() {
    let site = Site::with_engines(1).start().await;
    let answer = site.ask("question").output_tokens(100_000).begin().await;
    site.until("it runs", |site| site.engines[0].running() == 1)
        .await;
    drop(answer);
    site.until("it is cancelled", |site| site.engines[0].running() == 0)
        .await;
    let tokens = site.log.runs()[0].tokens;
    assert!(tokens < 100_000, "{tokens} tokens were computed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_of_a_disconnected_caller_is_not_run() {
    let one = |options: &mut standin::EngineOptions| options.slots = 1;
    let site = Site::with_engines(1).engine_options(one).start().await;
    let first = site
        .ask("question")
        .tagged("first")
        .output_tokens(300)
        .spawn();
    site.until("it runs", |site| site.engines[0].running() == 1)
        .await;
    let second = site.ask("question").tagged("second").spawn();
    tokio::time::sleep(Duration::from_millis(20)).await;
    second.abort();
    let _ = second.await;
    first.await.unwrap().assert_whole("first", 300);
    site.ask("question")
        .tagged("third")
        .send()
        .await
        .assert_whole("third", 4);
    assert_eq!(site.log.count("second"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_for_a_known_key_only() {
    let site = Site::with_engines(2).start().await;
    let get = |key: &str| {
        let head = format!(
            "GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             authorization: Bearer {key}\r\n\r\n"
        );
        let site = &site;
        async move { site.send_raw(head.as_bytes()).await }
    };
    let known = get("shop-key").await;
    assert!(known.contains("\"id\":\"small\""), "{known}");
    let unknown = get("nobody-key").await;
    assert!(unknown.starts_with("HTTP/1.1 401"), "{unknown}");
}
