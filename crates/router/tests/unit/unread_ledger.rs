use super::*;

const KIB: u64 = 1_024;

fn limits() -> Limits {
    Limits {
        max_unread_bytes: ByteSize::new(100 * KIB),
        max_unread_stream_bytes: ByteSize::new(30 * KIB),
        ..Limits::default()
    }
}

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn offer(ledger: &mut UnreadLedger, ms: u64, id: ReaderId, kib: u64) -> Room {
    ledger.take(at(ms), id, kib * KIB, Holding::Offered, &limits())
}

/// Fills streams of slow callers up to where callers that are behind get no more.
fn slow_callers(ledger: &mut UnreadLedger) -> Vec<ReaderId> {
    (0..3)
        .map(|number| {
            let id = ledger.open();
            assert_eq!(offer(ledger, 10 + number, id, 25), Room::Granted);
            id
        })
        .collect()
}

/// Guards against a host that goes on reading for a caller that does not.
#[test]
fn a_stream_waits_while_its_caller_has_enough_to_read() {
    let mut ledger = UnreadLedger::default();
    let id = ledger.open();
    assert_eq!(offer(&mut ledger, 0, id, 20), Room::Granted);
    assert_eq!(offer(&mut ledger, 1, id, 20), Room::Later);
    assert_eq!(ledger.held_bytes(), 20 * KIB);
    assert_eq!(ledger.give_back(at(2), id, 20 * KIB), vec![id]);
    assert_eq!(offer(&mut ledger, 3, id, 20), Room::Granted);
}

/// Guards against an event larger than the bound that is never passed on.
#[test]
fn a_caller_that_has_read_all_gets_a_part_of_any_size() {
    let mut ledger = UnreadLedger::default();
    let id = ledger.open();
    assert_eq!(offer(&mut ledger, 0, id, 200), Room::Granted);
}

/// Guards against callers that are behind and take the room of those that keep up.
#[test]
fn the_last_quarter_is_for_callers_that_keep_up() {
    let mut ledger = UnreadLedger::default();
    let slow = slow_callers(&mut ledger);
    assert_eq!(offer(&mut ledger, 20, slow[0], 1), Room::Later);
    let quick = ledger.open();
    assert_eq!(offer(&mut ledger, 20, quick, 20), Room::Granted);
    let woken = ledger.give_back(at(21), quick, 20 * KIB);
    assert_eq!(woken, vec![slow[0]]);
}

/// Guards against memory over the bound, and against closing any caller but the slowest.
#[test]
fn a_full_host_closes_the_caller_that_has_read_nothing_for_longest() {
    let mut ledger = UnreadLedger::default();
    let slow = slow_callers(&mut ledger);
    ledger.give_back(at(200), slow[0], KIB);
    let quick = ledger.open();
    assert_eq!(offer(&mut ledger, 700, quick, 40), Room::Without(slow[1]));
    let other = ledger.open();
    assert_eq!(offer(&mut ledger, 701, other, 40), Room::Later);
    assert!(ledger.held_bytes() <= limits().max_unread_bytes.get());
    assert_eq!(ledger.give_back(at(702), slow[1], 25 * KIB).len(), 2);
    ledger.close(slow[1]);
    assert_eq!(offer(&mut ledger, 702, quick, 40), Room::Granted);
}

/// Guards against a caller that is closed because a packet to it was lost.
#[test]
fn nobody_is_closed_who_read_a_moment_ago() {
    let mut ledger = UnreadLedger::default();
    slow_callers(&mut ledger);
    let quick = ledger.open();
    assert_eq!(offer(&mut ledger, 100, quick, 40), Room::Later);
}

/// Guards against an answer that is closed although its caller was offered nothing yet.
#[test]
fn an_answer_that_is_collected_makes_nobody_slow() {
    let mut ledger = UnreadLedger::default();
    let (one, other) = (ledger.open(), ledger.open());
    let collect = |ledger: &mut UnreadLedger, ms, id| {
        ledger.take(at(ms), id, 60 * KIB, Holding::Collected, &limits())
    };
    assert_eq!(collect(&mut ledger, 0, one), Room::Granted);
    assert_eq!(collect(&mut ledger, 9_000, other), Room::Later);
    ledger.offer(at(9_000), one);
    assert_eq!(collect(&mut ledger, 9_600, other), Room::Without(one));
}

/// Guards against bytes that stay counted after their caller has left.
#[test]
fn what_a_closed_connection_held_is_given_back_once() {
    let mut ledger = UnreadLedger::default();
    let slow = slow_callers(&mut ledger);
    ledger.close(slow[0]);
    assert!(ledger.give_back(at(50), slow[0], 25 * KIB).is_empty());
    assert_eq!(ledger.held_bytes(), 50 * KIB);
}

/// Guards against callers that are behind and take the room that another one was cut off for.
#[test]
fn room_that_a_slow_caller_makes_is_for_who_wanted_it() {
    let mut ledger = UnreadLedger::default();
    let slow: Vec<ReaderId> = (0..3).map(|_| ledger.open()).collect();
    for id in &slow {
        assert_eq!(offer(&mut ledger, 10, *id, 20), Room::Granted);
    }
    let wants = ledger.open();
    let collect = |ledger: &mut UnreadLedger| {
        ledger.take(at(1_000), wants, 50 * KIB, Holding::Collected, &limits())
    };
    let Room::Without(cut) = collect(&mut ledger) else {
        panic!("no room is made");
    };
    ledger.close(cut);
    let behind = *slow.iter().find(|id| **id != cut).unwrap();
    assert_eq!(offer(&mut ledger, 1_001, behind, 5), Room::Later);
    assert_eq!(collect(&mut ledger), Room::Granted);
}
