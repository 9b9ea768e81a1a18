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

fn reserve_streamed(budget: &mut UnreadBudget, ms: u64, id: ReaderId, kib: u64) -> Reservation {
    budget.reserve(at(ms), id, kib * KIB, Delivery::Streamed, &limits())
}

/// Adds slow readers whose unread bytes use up the budget for readers that do not keep up.
fn add_slow_readers(budget: &mut UnreadBudget) -> Vec<ReaderId> {
    (0..3)
        .map(|number| {
            let id = budget.add_reader();
            assert_eq!(
                reserve_streamed(budget, 10 + number, id, 25),
                Reservation::Granted
            );
            id
        })
        .collect()
}

/// Guards against a host that reads on from an upstream while the caller reads nothing.
#[test]
fn a_stream_at_its_unread_limit_waits() {
    let mut budget = UnreadBudget::default();
    let id = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 0, id, 20),
        Reservation::Granted
    );
    assert_eq!(reserve_streamed(&mut budget, 1, id, 20), Reservation::Wait);
    assert_eq!(budget.held_bytes(), 20 * KIB);
    assert_eq!(budget.release(at(2), id, 20 * KIB), vec![id]);
    assert_eq!(
        reserve_streamed(&mut budget, 3, id, 20),
        Reservation::Granted
    );
}

/// Guards against an event that is never sent because it is larger than the limit.
#[test]
fn a_reader_with_nothing_unread_gets_a_part_of_any_size() {
    let mut budget = UnreadBudget::default();
    let id = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 0, id, 200),
        Reservation::Granted
    );
}

/// Guards against readers that do not keep up taking the budget of those that do.
#[test]
fn the_last_quarter_is_reserved_for_readers_that_keep_up() {
    let mut budget = UnreadBudget::default();
    let slow = add_slow_readers(&mut budget);
    assert_eq!(
        reserve_streamed(&mut budget, 20, slow[0], 1),
        Reservation::Wait
    );
    let fast = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 20, fast, 20),
        Reservation::Granted
    );
    let woken = budget.release(at(21), fast, 20 * KIB);
    assert_eq!(woken, vec![slow[0]]);
}

/// Guards against exceeding the memory limit, and against closing any reader but the slowest.
#[test]
fn a_full_budget_closes_the_reader_that_is_idle_for_longest() {
    let mut budget = UnreadBudget::default();
    let slow = add_slow_readers(&mut budget);
    budget.release(at(200), slow[0], KIB);
    let fast = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 700, fast, 40),
        Reservation::AfterClosing(slow[1])
    );
    let other = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 701, other, 40),
        Reservation::Wait
    );
    assert!(budget.held_bytes() <= limits().max_unread_bytes.get());
    assert_eq!(budget.release(at(702), slow[1], 25 * KIB).len(), 2);
    budget.remove_reader(slow[1]);
    assert_eq!(
        reserve_streamed(&mut budget, 702, fast, 40),
        Reservation::Granted
    );
}

/// Guards against closing a reader that is idle only because a packet to it was lost.
#[test]
fn no_reader_is_closed_before_the_stall_timeout() {
    let mut budget = UnreadBudget::default();
    add_slow_readers(&mut budget);
    let fast = budget.add_reader();
    assert_eq!(
        reserve_streamed(&mut budget, 100, fast, 40),
        Reservation::Wait
    );
}

/// Guards against closing a reader as slow before it could read any of its answer.
#[test]
fn a_whole_answer_is_not_idle_before_it_is_readable() {
    let mut budget = UnreadBudget::default();
    let (one, other) = (budget.add_reader(), budget.add_reader());
    let reserve_whole = |budget: &mut UnreadBudget, ms, id| {
        budget.reserve(at(ms), id, 60 * KIB, Delivery::Whole, &limits())
    };
    assert_eq!(reserve_whole(&mut budget, 0, one), Reservation::Granted);
    assert_eq!(reserve_whole(&mut budget, 9_000, other), Reservation::Wait);
    budget.mark_readable(at(9_000), one);
    assert_eq!(
        reserve_whole(&mut budget, 9_600, other),
        Reservation::AfterClosing(one)
    );
}

/// Guards against bytes that stay counted after their caller has disconnected.
#[test]
fn bytes_of_a_closed_connection_are_released_once() {
    let mut budget = UnreadBudget::default();
    let slow = add_slow_readers(&mut budget);
    budget.remove_reader(slow[0]);
    assert!(budget.release(at(50), slow[0], 25 * KIB).is_empty());
    assert_eq!(budget.held_bytes(), 50 * KIB);
}

/// Guards against slow readers taking the budget that closing another reader frees for a new
/// request.
#[test]
fn space_freed_by_closing_a_reader_goes_to_the_requester() {
    let mut budget = UnreadBudget::default();
    let slow: Vec<ReaderId> = (0..3).map(|_| budget.add_reader()).collect();
    for id in &slow {
        assert_eq!(
            reserve_streamed(&mut budget, 10, *id, 20),
            Reservation::Granted
        );
    }
    let requester = budget.add_reader();
    let reserve_whole = |budget: &mut UnreadBudget| {
        budget.reserve(at(1_000), requester, 50 * KIB, Delivery::Whole, &limits())
    };
    let Reservation::AfterClosing(closed) = reserve_whole(&mut budget) else {
        panic!("no reader was chosen to be closed");
    };
    budget.remove_reader(closed);
    let lagging = *slow.iter().find(|id| **id != closed).unwrap();
    assert_eq!(
        reserve_streamed(&mut budget, 1_001, lagging, 5),
        Reservation::Wait
    );
    assert_eq!(reserve_whole(&mut budget), Reservation::Granted);
}
