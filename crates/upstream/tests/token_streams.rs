//! Token streams of engines that send bytes without end.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    bytes::Bytes,
    hyper::Method,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread::JoinHandle,
        time::Duration,
    },
    types::prelude::*,
    upstream::{Call, CallFailure, ConnectionPool, EngineAdapter},
};

/// Most bytes that may be accepted of one event, with the buffers of the connection.
const MAX_ACCEPTED_BYTES: usize = 24 * 1024 * 1024;

/// Longest wait for an event.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an engine that answers one request with a stream of the same bytes without end. The
/// thread returns how many of these bytes were accepted.
fn start_engine(endless: Vec<u8>) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let engine = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        stream.write_all(head).unwrap();
        let mut accepted = 0;
        while stream.write_all(&endless).is_ok() {
            accepted += endless.len();
        }
        accepted
    });
    (address, engine)
}

/// Reads the first item of a stream of endless bytes, which must fail.
fn check_endless(endless: &[u8]) {
    let (address, engine) = start_engine(endless.to_vec());
    let call = Call {
        attempt: AttemptId::new(Incarnation::new(1), 1),
        body: Bytes::from("{}"),
        content_type: "application/json".to_string(),
        method: Method::POST,
        path: "/v1/completions".to_string(),
        priority: 0,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let item = runtime.block_on(async {
        let engines = EngineAdapter::new(ConnectionPool::default());
        let response = engines.start(address, &call, IDLE_TIMEOUT).await.unwrap();
        response.into_token_stream().next(IDLE_TIMEOUT).await
    });
    drop(runtime);
    let accepted = engine.join().unwrap();
    let truncated = CallFailure::may_have_run(FailureCause::Truncated);
    assert_eq!(item, Err(truncated), "{accepted} bytes accepted");
    assert!(accepted <= MAX_ACCEPTED_BYTES, "{accepted} bytes accepted");
}

/// Guards against an event that is kept in memory for as long as the engine writes.
#[test]
fn an_event_without_end() {
    check_endless(&[b'a'; 4_096]);
}

#[test]
fn lines_without_end_of_one_event() {
    check_endless(&b"data: word\n".repeat(400));
}

#[test]
fn comments_without_end() {
    check_endless(&b": busy\n\n".repeat(500));
}
