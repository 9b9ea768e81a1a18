use super::*;

const TOKEN: &str = "between-hosts";

fn note() -> UsageNote {
    UsageNote {
        host: "a-1".parse().unwrap(),
        incarnation: Incarnation::new(7),
        protocol: crate::PROTOCOL,
        unix_ms: 5,
        windows: Vec::new(),
        work: vec![ModelWork {
            in_flight: 2,
            model: "m".parse().unwrap(),
            total_ms: 1_000,
            waiting_ms: 30,
        }],
    }
}

/// Guards against usage windows that are lost while hosts of two releases run side by side. Each
/// release must decode the notes of the other.
#[test]
fn releases_without_work_understand_and_are_understood() {
    let note = note();
    let kind = datagram::Kind::Usage;
    let without: NoteWithoutWork = datagram::decode(kind, TOKEN, &note.to_datagram(TOKEN)).unwrap();
    assert_eq!(without.unix_ms, 5);
    let fields = (
        &note.host,
        note.incarnation,
        note.protocol,
        note.unix_ms,
        &note.windows,
    );
    let earlier = datagram::encode(kind, TOKEN, &fields);
    let read = UsageNote::from_datagram(&earlier, TOKEN).unwrap();
    let expected = UsageNote {
        work: Vec::new(),
        ..note.clone()
    };
    assert_eq!(read, expected);
    let read = UsageNote::from_datagram(&note.to_datagram(TOKEN), TOKEN).unwrap();
    assert_eq!(read, note);
}
