use super::*;

/// Number of events in one chunk. Moving the rest of the chunk for each of them would copy 200 GB.
const EVENTS: usize = 200_000;

/// Guards against a cost per event that grows with the size of its chunk.
#[test]
fn splits_a_chunk_without_moving_its_bytes() {
    let mut splitter = EventSplitter::default();
    splitter.push(&b"id: 1\ndata\n\n".repeat(EVENTS));
    let first = splitter.next_event().unwrap();
    let mut expected = first.bytes.as_ptr();
    let mut count = 1;
    while let Some(event) = splitter.next_event() {
        expected = expected.wrapping_add(event.bytes.len());
        assert_eq!(event.bytes.as_ptr(), expected, "event {count} was moved");
        count += 1;
    }
    assert_eq!(count, EVENTS);
    assert!(!splitter.has_partial_event());
}

#[test]
fn joins_an_event_from_several_chunks() {
    let mut splitter = EventSplitter::default();
    for part in ["id: 1\nda", "ta: a\n", "\nid: 2\r\ndata: b\r\n\r", "\nid"] {
        splitter.push(part.as_bytes());
    }
    let events: Vec<_> = std::iter::from_fn(|| splitter.next_event()).collect();
    assert_eq!(events[0].bytes, "id: 1\ndata: a\n\n");
    assert_eq!(events[0].id.as_deref(), Some("1"));
    assert_eq!(events[1].bytes, "id: 2\r\ndata: b\r\n\r\n");
    assert_eq!(events[1].id.as_deref(), Some("2"));
    assert_eq!(splitter.partial_event_bytes(), 2);
}
