use super::*;

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

fn news(revision: u64, whole: bool, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        revision,
        rows,
        whole,
    }
}

/// What is announced after a revision: `all` or `changes`, the revision and the rows.
fn advertised(copy: &TableCopy, revision: u64) -> String {
    let Some(news) = copy.after(revision, u8::MAX) else {
        return "unknown".to_string();
    };
    let rows = news.rows.iter().map(|row| match row.removed {
        true => format!("-{}", row.key),
        false => String::from_utf8(row.value.clone()).unwrap(),
    });
    let rows: Vec<String> = rows.collect();
    let kind = if news.whole { "all" } else { "changes" };
    format!("{kind} up to {}: {}", news.revision, rows.join(" "))
}

#[test]
fn tells_changes_to_who_knows_enough_and_all_to_others() {
    let mut copy = TableCopy::default();
    copy.take(news(3, false, vec![row("a", 3)]));
    assert_eq!(advertised(&copy, 0), "unknown", "it was never read whole");
    copy.take(news(10, true, vec![row("a", 4), row("b", 9)]));
    copy.take(news(12, false, vec![row("a", 11), removed("b", 12)]));
    assert_eq!(advertised(&copy, 0), "all up to 12: a@11");
    assert_eq!(advertised(&copy, 10), "changes up to 12: a@11 -b");
    assert_eq!(advertised(&copy, 11), "changes up to 12: -b");
    assert_eq!(advertised(&copy, 12), "changes up to 12: ");
}

/// Symptom: a server that is gone stays on most hosts. Events: the store forgets its
/// history, or the host loses it for a while, and reads the table whole; an entry has gone
/// meanwhile. Cause: a whole reading names only what is there.
#[test]
fn a_whole_reading_tells_others_what_is_gone() {
    let mut copy = TableCopy::default();
    copy.take(news(10, true, vec![row("a", 4), row("b", 9)]));
    copy.take(news(20, true, vec![row("a", 4), row("c", 15)]));
    assert_eq!(advertised(&copy, 10), "changes up to 20: -b c@15");
}

/// Symptom: one change never reaches some hosts. Events: the store tells of a removal and
/// names no revision, or the one at which the row was written. Cause: others are notified only
/// of revisions after the one that they know.
#[test]
fn a_change_counts_from_when_it_was_announced() {
    let mut copy = TableCopy::default();
    copy.take(news(10, true, vec![row("a", 4), row("b", 9)]));
    copy.take(news(12, false, vec![removed("b", 0), removed("a", 4)]));
    assert_eq!(advertised(&copy, 10), "changes up to 12: -a -b");
}

#[test]
fn an_answer_that_was_overtaken_changes_nothing() {
    let mut copy = TableCopy::default();
    copy.take(news(10, true, vec![row("a", 9)]));
    copy.take(news(8, true, vec![row("a", 7)]));
    copy.take(news(9, false, vec![removed("a", 9)]));
    assert_eq!(advertised(&copy, 0), "all up to 10: a@9");
}

#[test]
fn removed_rows_are_not_remembered_for_ever() {
    let mut copy = TableCopy::default();
    copy.take(news(1, true, Vec::new()));
    let removals = MAX_REMOVED as u64 + 10;
    for revision in 2..2 + removals {
        let gone = removed(&format!("s-{revision}"), revision);
        copy.take(news(revision, false, vec![gone]));
    }
    assert_eq!(copy.rows.len(), MAX_REMOVED);
    assert!(advertised(&copy, 5).starts_with("all"), "too long ago");
    assert!(advertised(&copy, 12).starts_with("changes"));
}
