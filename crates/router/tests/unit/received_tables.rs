use super::*;

const DIVISION: u32 = 77;

fn row(key: &str, revision: u64, level: u8) -> TableRow {
    TableRow {
        key: key.to_string(),
        level,
        removed: false,
        revision,
        value: Vec::new(),
    }
}

fn reading(table: SharedTable, division: u32, news: TableUpdate) -> SharedTableUpdate {
    SharedTableUpdate {
        coverage: Coverage::all(division),
        divided: Vec::new(),
        hosts_in_all: 0,
        update: news,
        source: TableSource::Store,
        table,
    }
}

fn news(revision: u64, whole: bool, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        revision,
        rows,
        whole,
    }
}

/// A host that read all of a divided table from the store.
fn asked_host() -> ReceivedTables {
    let mut received = ReceivedTables::default();
    let rows = vec![row("a", 1, 0), row("b", 2, 1), row("c", 3, 2)];
    let now = Time::from_ms(1_000);
    received.take(
        now,
        reading(SharedTable::Upstreams, DIVISION, news(9, true, rows)),
    );
    received.take(
        now,
        reading(SharedTable::Hosts, 0, news(9, true, Vec::new())),
    );
    received
}

fn question(upstreams: u64, division: u32, level: u8) -> TablesRequest {
    TablesRequest {
        coverage: Coverage { division, level },
        hosts_revision: 9,
        upstreams_revision: upstreams,
    }
}

/// What is announced: the coverage, `all` or `changes`, and the rows.
fn advertised(received: &ReceivedTables, question: &TablesRequest) -> String {
    let Some(news) = received.news_for(question) else {
        return "unknown".to_string();
    };
    let Coverage { division, level } = news.coverage;
    let kind = if news.upstreams.whole {
        "all"
    } else {
        "changes"
    };
    let rows = news.upstreams.rows.iter().map(|row| match row.removed {
        true => format!("-{}", row.key),
        false => row.key.clone(),
    });
    let rows: Vec<String> = rows.collect();
    format!("{division}/{level} {kind}: {}", rows.join(" "))
}

/// Guards against every host being sent the whole table of a large installation.
#[test]
fn tells_a_host_the_rows_of_its_level_only() {
    let mut received = asked_host();
    assert_eq!(advertised(&received, &question(0, 0, 0)), "77/0 all: a");
    assert_eq!(
        advertised(&received, &question(0, DIVISION, 1)),
        "77/1 all: a b"
    );
    let changed = vec![row("a", 10, 0), row("c", 11, 2)];
    let changes = reading(SharedTable::Upstreams, DIVISION, news(11, false, changed));
    received.take(Time::from_ms(2_000), changes);
    assert_eq!(
        advertised(&received, &question(9, DIVISION, 0)),
        "77/0 changes: a"
    );
    assert_eq!(
        advertised(&received, &question(11, DIVISION, 0)),
        "77/0 changes: "
    );
}

/// Guards against changes that are put onto rows of another division: upstreams that are gone
/// would stay, and others would be missing.
#[test]
fn tells_all_rows_to_a_host_that_knows_another_division() {
    let received = asked_host();
    assert_eq!(
        advertised(&received, &question(9, DIVISION + 1, 0)),
        "77/0 all: a"
    );
}

/// Guards against an upstream that stays with the hosts that know it after it was removed: its
/// row no longer says where it stood.
#[test]
fn tells_removals_to_those_who_know_the_row() {
    let mut received = asked_host();
    let gone = |key: &str, revision| TableRow {
        removed: true,
        ..row(key, revision, 0)
    };
    let removed = vec![gone("a", 10), gone("c", 11)];
    let changes = reading(SharedTable::Upstreams, DIVISION, news(11, false, removed));
    received.take(Time::from_ms(2_000), changes);
    assert_eq!(
        advertised(&received, &question(9, DIVISION, 0)),
        "77/0 changes: -a"
    );
    assert_eq!(
        advertised(&received, &question(9, DIVISION, 2)),
        "77/2 changes: -a -c"
    );
}

/// Guards against a copy that passes on less than the asking host takes it for.
#[test]
fn a_copy_of_some_rows_tells_nothing_to_a_host_that_needs_more() {
    let mut received = asked_host();
    let from_nothing = TablesRequest {
        hosts_revision: 0,
        ..question(0, 0, 1)
    };
    let news = received.news_for(&from_nothing).unwrap();
    let mut copy = ReceivedTables::default();
    let hosts = reading(SharedTable::Hosts, 0, news.hosts);
    copy.take(Time::from_ms(2_000), hosts);
    let upstreams = SharedTableUpdate {
        coverage: news.coverage,
        divided: Vec::new(),
        hosts_in_all: 0,
        update: news.upstreams,
        source: TableSource::Host,
        table: SharedTable::Upstreams,
    };
    copy.take(Time::from_ms(2_000), upstreams.clone());
    assert_eq!(advertised(&copy, &question(0, 0, 0)), "77/0 all: a");
    assert_eq!(advertised(&copy, &question(0, 0, 2)), "unknown");

    // A host that no longer asks the store forgets what it does not need itself.
    received.take(Time::from_ms(3_000), upstreams);
    assert_eq!(advertised(&received, &question(0, 0, 1)), "77/1 all: a b");
    assert_eq!(advertised(&received, &question(0, 0, 2)), "unknown");
}

#[test]
fn tells_all_hosts_all_rows_where_nothing_is_divided() {
    let mut received = ReceivedTables::default();
    let now = Time::from_ms(1_000);
    received.take(
        now,
        reading(
            SharedTable::Upstreams,
            0,
            news(5, true, vec![row("a", 1, 0)]),
        ),
    );
    received.take(
        now,
        reading(SharedTable::Hosts, 0, news(5, true, Vec::new())),
    );
    assert_eq!(advertised(&received, &question(0, 0, 0)), "0/0 all: a");
    assert_eq!(advertised(&received, &question(5, 0, 3)), "0/0 changes: ");
}

/// Guards against hosts that learn too late that an upstream leaves, as the one that they ask has
/// just started and still reads the table of hosts, part by part.
#[test]
fn tells_of_upstreams_before_it_has_read_the_hosts() {
    let mut received = ReceivedTables::default();
    let now = Time::from_ms(1_000);
    let rows = vec![row("a", 1, 0)];
    received.take(now, reading(SharedTable::Upstreams, 0, news(5, true, rows)));
    assert_eq!(
        received.advertised(now),
        TablesAdvertised::News { regained: None }
    );
    assert_eq!(advertised(&received, &question(0, 0, 0)), "0/0 all: a");
    let hosts = received.news_for(&question(0, 0, 0)).unwrap().hosts;
    assert_eq!((hosts.revision, hosts.whole), (9, false));
}
