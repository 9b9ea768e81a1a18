use super::*;

const ERA: StoreEra = StoreEra::new(1);

fn row(key: &str, revision: u64) -> TableRow {
    TableRow {
        key: key.to_string(),
        level: 0,
        removed: false,
        revision,
        value: format!("{key}@{revision}").into_bytes(),
    }
}

fn removed(key: &str, revision: u64) -> TableRow {
    TableRow {
        removed: true,
        value: Vec::new(),
        ..row(key, revision)
    }
}

fn update(revision: u64, whole: bool, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        revision,
        rows,
        whole,
    }
}

/// Formats the changes after a revision: `all` or `changes`, the newest revision and the rows.
fn describe_changes(copy: &TableCopy, revision: u64) -> String {
    let Some(update) = copy.changes_after(revision, u8::MAX) else {
        return "unknown".to_string();
    };
    let rows = update.rows.iter().map(|row| match row.removed {
        true => format!("-{}", row.key),
        false => String::from_utf8(row.value.clone()).unwrap(),
    });
    let rows: Vec<String> = rows.collect();
    let kind = if update.whole { "all" } else { "changes" };
    format!("{kind} up to {}: {}", update.revision, rows.join(" "))
}

#[test]
fn changes_are_sent_for_a_covered_revision_and_all_rows_otherwise() {
    let mut copy = TableCopy::default();
    copy.apply(ERA, update(3, false, vec![row("a", 3)]));
    assert_eq!(
        describe_changes(&copy, 0),
        "unknown",
        "the table was never read completely"
    );
    copy.apply(ERA, update(10, true, vec![row("a", 4), row("b", 9)]));
    copy.apply(ERA, update(12, false, vec![row("a", 11), removed("b", 12)]));
    assert_eq!(describe_changes(&copy, 0), "all up to 12: a@11");
    assert_eq!(describe_changes(&copy, 10), "changes up to 12: a@11 -b");
    assert_eq!(describe_changes(&copy, 11), "changes up to 12: -b");
    assert_eq!(describe_changes(&copy, 12), "changes up to 12: ");
}

/// Guards against a removed server that stays on most hosts. The store drops its history, or the
/// host loses the store for a while, and then reads the table completely. A complete read holds
/// only the existing rows, so it does not show a removal that happened in the meantime.
#[test]
fn a_complete_read_reports_missing_rows_as_removed() {
    let mut copy = TableCopy::default();
    copy.apply(ERA, update(10, true, vec![row("a", 4), row("b", 9)]));
    copy.apply(ERA, update(20, true, vec![row("a", 4), row("c", 15)]));
    assert_eq!(describe_changes(&copy, 10), "changes up to 20: -b c@15");
}

/// Guards against a change that never reaches some hosts. The store reports a removal without a
/// revision, or with the revision at which the row was written. Other hosts get only changes
/// after the revision that they know.
#[test]
fn a_change_with_an_old_revision_gets_the_revision_of_its_update() {
    let mut copy = TableCopy::default();
    copy.apply(ERA, update(10, true, vec![row("a", 4), row("b", 9)]));
    copy.apply(
        ERA,
        update(12, false, vec![removed("b", 0), removed("a", 4)]),
    );
    assert_eq!(describe_changes(&copy, 10), "changes up to 12: -a -b");
}

#[test]
fn an_outdated_update_changes_nothing() {
    let mut copy = TableCopy::default();
    copy.apply(ERA, update(10, true, vec![row("a", 9)]));
    copy.apply(ERA, update(8, true, vec![row("a", 7)]));
    copy.apply(ERA, update(9, false, vec![removed("a", 9)]));
    assert_eq!(describe_changes(&copy, 0), "all up to 10: a@9");
}

#[test]
fn the_oldest_removed_rows_are_dropped() {
    let mut copy = TableCopy::default();
    copy.apply(ERA, update(1, true, Vec::new()));
    let removals = MAX_REMOVED_ROWS as u64 + 10;
    for revision in 2..2 + removals {
        let gone = removed(&format!("s-{revision}"), revision);
        copy.apply(ERA, update(revision, false, vec![gone]));
    }
    assert_eq!(copy.rows.len(), MAX_REMOVED_ROWS);
    assert!(
        describe_changes(&copy, 5).starts_with("all"),
        "the revision is too old"
    );
    assert!(describe_changes(&copy, 12).starts_with("changes"));
}
