use super::*;

const DIVISION: u32 = 77;
const ERA: StoreEra = StoreEra::new(1);
const NEXT_ERA: StoreEra = StoreEra::new(2);

fn row(key: &str, revision: u64, level: u8) -> TableRow {
    TableRow {
        key: key.to_string(),
        level,
        removed: false,
        revision,
        value: Vec::new(),
    }
}

fn table_update(table: SharedTable, division: u32, update: TableUpdate) -> SharedTableUpdate {
    SharedTableUpdate {
        coverage: Coverage::all(division),
        divided: Vec::new(),
        era: ERA,
        hosts_in_all: 0,
        update,
        source: TableSource::Store,
        table,
    }
}

fn update(revision: u64, whole: bool, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        revision,
        rows,
        whole,
    }
}

/// The tables of a host that read all rows of a divided upstream table from the store.
fn host_with_all_rows() -> ReceivedTables {
    let mut received = ReceivedTables::default();
    let rows = vec![row("a", 1, 0), row("b", 2, 1), row("c", 3, 2)];
    let now = Time::from_ms(1_000);
    received.apply(
        now,
        table_update(SharedTable::Upstreams, DIVISION, update(9, true, rows)),
    );
    received.apply(
        now,
        table_update(SharedTable::Hosts, 0, update(9, true, Vec::new())),
    );
    received
}

fn tables_request(upstreams: u64, division: u32, level: u8) -> TablesRequest {
    TablesRequest {
        coverage: Coverage { division, level },
        era: Some(ERA),
        hosts_revision: 9,
        upstreams_revision: upstreams,
    }
}

/// Formats a response: the coverage, `all` or `changes`, and the keys of the rows.
fn describe_response(received: &ReceivedTables, request: &TablesRequest) -> String {
    let Some(response) = received.response_to(request) else {
        return "unknown".to_string();
    };
    let Coverage { division, level } = response.coverage;
    let kind = if response.upstreams.whole {
        "all"
    } else {
        "changes"
    };
    let rows = response.upstreams.rows.iter().map(|row| match row.removed {
        true => format!("-{}", row.key),
        false => row.key.clone(),
    });
    let rows: Vec<String> = rows.collect();
    format!("{division}/{level} {kind}: {}", rows.join(" "))
}

/// Guards against sending the whole table of a large installation to every host.
#[test]
fn a_host_gets_only_the_rows_up_to_its_level() {
    let mut received = host_with_all_rows();
    assert_eq!(
        describe_response(&received, &tables_request(0, 0, 0)),
        "77/0 all: a"
    );
    assert_eq!(
        describe_response(&received, &tables_request(0, DIVISION, 1)),
        "77/1 all: a b"
    );
    let changed = vec![row("a", 10, 0), row("c", 11, 2)];
    let changes = table_update(SharedTable::Upstreams, DIVISION, update(11, false, changed));
    received.apply(Time::from_ms(2_000), changes);
    assert_eq!(
        describe_response(&received, &tables_request(9, DIVISION, 0)),
        "77/0 changes: a"
    );
    assert_eq!(
        describe_response(&received, &tables_request(11, DIVISION, 0)),
        "77/0 changes: "
    );
}

/// Guards against changes that a host applies to rows of another division: removed upstreams
/// would stay, and others would be missing.
#[test]
fn a_host_that_knows_another_division_gets_all_rows() {
    let received = host_with_all_rows();
    assert_eq!(
        describe_response(&received, &tables_request(9, DIVISION + 1, 0)),
        "77/0 all: a"
    );
}

/// Guards against a removed upstream that stays on the hosts that have its row: the removal does
/// not carry the level of the row, so the hosts that need the removal could be missed.
#[test]
fn a_removal_is_sent_to_hosts_that_have_the_row() {
    let mut received = host_with_all_rows();
    let gone = |key: &str, revision| TableRow {
        removed: true,
        ..row(key, revision, 0)
    };
    let removed = vec![gone("a", 10), gone("c", 11)];
    let changes = table_update(SharedTable::Upstreams, DIVISION, update(11, false, removed));
    received.apply(Time::from_ms(2_000), changes);
    assert_eq!(
        describe_response(&received, &tables_request(9, DIVISION, 0)),
        "77/0 changes: -a"
    );
    assert_eq!(
        describe_response(&received, &tables_request(9, DIVISION, 2)),
        "77/2 changes: -a -c"
    );
}

/// Guards against a host that serves a part of the table to a host that expects a larger part.
#[test]
fn a_partial_copy_is_not_sent_to_a_host_that_needs_more_rows() {
    let mut received = host_with_all_rows();
    let from_nothing = TablesRequest {
        hosts_revision: 0,
        ..tables_request(0, 0, 1)
    };
    let response = received.response_to(&from_nothing).unwrap();
    let mut copy = ReceivedTables::default();
    let hosts = table_update(SharedTable::Hosts, 0, response.hosts);
    copy.apply(Time::from_ms(2_000), hosts);
    let upstreams = SharedTableUpdate {
        coverage: response.coverage,
        divided: Vec::new(),
        era: ERA,
        hosts_in_all: 0,
        update: response.upstreams,
        source: TableSource::Host,
        table: SharedTable::Upstreams,
    };
    copy.apply(Time::from_ms(2_000), upstreams.clone());
    assert_eq!(
        describe_response(&copy, &tables_request(0, 0, 0)),
        "77/0 all: a"
    );
    assert_eq!(
        describe_response(&copy, &tables_request(0, 0, 2)),
        "unknown"
    );

    // A host that no longer reads the store drops the rows that it does not need itself.
    received.apply(Time::from_ms(3_000), upstreams);
    assert_eq!(
        describe_response(&received, &tables_request(0, 0, 1)),
        "77/1 all: a b"
    );
    assert_eq!(
        describe_response(&received, &tables_request(0, 0, 2)),
        "unknown"
    );
}

#[test]
fn every_host_gets_all_rows_of_an_undivided_table() {
    let mut received = ReceivedTables::default();
    let now = Time::from_ms(1_000);
    received.apply(
        now,
        table_update(
            SharedTable::Upstreams,
            0,
            update(5, true, vec![row("a", 1, 0)]),
        ),
    );
    received.apply(
        now,
        table_update(SharedTable::Hosts, 0, update(5, true, Vec::new())),
    );
    assert_eq!(
        describe_response(&received, &tables_request(0, 0, 0)),
        "0/0 all: a"
    );
    assert_eq!(
        describe_response(&received, &tables_request(5, 0, 3)),
        "0/0 changes: "
    );
}

/// Guards against hosts that learn too late that an upstream leaves, because the host that they
/// ask has just started and is still reading the host table in parts.
#[test]
fn upstreams_are_sent_before_the_host_table_is_read() {
    let mut received = ReceivedTables::default();
    let now = Time::from_ms(1_000);
    let rows = vec![row("a", 1, 0)];
    received.apply(
        now,
        table_update(SharedTable::Upstreams, 0, update(5, true, rows)),
    );
    assert_eq!(
        received.availability(now),
        TablesAvailability::Available {
            store_regained_ago: None
        }
    );
    assert_eq!(
        describe_response(&received, &tables_request(0, 0, 0)),
        "0/0 all: a"
    );
    let hosts = received
        .response_to(&tables_request(0, 0, 0))
        .unwrap()
        .hosts;
    assert_eq!((hosts.revision, hosts.whole), (9, false));
}

/// The tables of a host that has read them again after the store was restored.
fn host_after_a_restore() -> ReceivedTables {
    let mut received = host_with_all_rows();
    for table in [SharedTable::Upstreams, SharedTable::Hosts] {
        let rows = vec![row("a", 1, 0), row("d", 4, 0)];
        let update = SharedTableUpdate {
            era: NEXT_ERA,
            ..table_update(table, DIVISION, update(5, true, rows))
        };
        received.apply(Time::from_ms(2_000), update);
    }
    received
}

/// Guards against dropping the table of a new era, whose revisions are lower, and against sending
/// changes after a revision of the era before.
#[test]
fn hosts_that_know_an_earlier_era_get_all_rows() {
    let received = host_after_a_restore();
    for revision in [1, 5, 9, 30] {
        let request = tables_request(revision, DIVISION, 2);
        assert_eq!(describe_response(&received, &request), "77/2 all: a d");
        assert!(received.response_to(&request).unwrap().hosts.whole);
    }
    let of_era = |era| TablesRequest {
        era,
        ..tables_request(5, DIVISION, 2)
    };
    assert_eq!(
        describe_response(&received, &of_era(Some(NEXT_ERA))),
        "77/2 changes: "
    );
    // A host of the previous release does not tell its era.
    assert_eq!(describe_response(&received, &of_era(None)), "77/2 all: a d");
}

/// Guards against an answer of the era before that arrives late, and against a host that takes the
/// tables of one that has not heard of the new era for current ones.
#[test]
fn tables_of_an_earlier_era_are_neither_applied_nor_sent() {
    let mut received = host_after_a_restore();
    let late = update(20, true, vec![row("late", 20, 0)]);
    let late = table_update(SharedTable::Upstreams, DIVISION, late);
    received.apply(Time::from_ms(3_000), late);
    let request = TablesRequest {
        era: Some(NEXT_ERA),
        ..tables_request(0, DIVISION, 2)
    };
    assert_eq!(describe_response(&received, &request), "77/2 all: a d");
    assert_eq!(
        describe_response(&host_with_all_rows(), &request),
        "unknown"
    );
}

/// Guards against sending all rows to each host of the previous release again and again.
#[test]
fn hosts_of_the_previous_release_get_changes_while_there_was_no_restore() {
    let request = TablesRequest {
        era: None,
        ..tables_request(9, DIVISION, 2)
    };
    assert_eq!(
        describe_response(&host_with_all_rows(), &request),
        "77/2 changes: "
    );
}
