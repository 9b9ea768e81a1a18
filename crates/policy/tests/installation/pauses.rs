//! Pauses within an answer: what callers feel, and which placements cause them.

use {
    crate::support::{Ask, Host, sent},
    policy::{Action, AttemptEnd, Event, Outcome},
    std::time::Duration,
    types::prelude::*,
};

/// Plays a stream with a first token in time and a longest pause.
fn outcome_of(longest_pause: Duration) -> Outcome {
    let mut host = Host::new(0);
    let (request, actions) = host.ask(Ask::prompt("question", "first-key", &[(7, 100)]));
    let attempt = sent(&actions).unwrap().attempt;
    host.pass(50);
    host.handle(Event::Progressed {
        attempt,
        longest_pause: Duration::ZERO,
        request,
        tokens: Tokens::new(1),
    });
    host.pass(2_000);
    let end = AttemptEnd::Completed {
        answer: None,
        longest_pause,
        tokens: Tokens::new(57),
    };
    let event = Event::AttemptEnded {
        attempt,
        end,
        request,
    };
    let actions = host.handle(event);
    let mut outcomes = actions.into_iter().filter_map(|action| match action {
        Action::Record(outcome) => Some(outcome),
        _ => None,
    });
    outcomes.next().unwrap()
}

/// Symptom: the log and the burn report say that a class is on time, and callers see
/// it stall. Events: a stream starts in time, stands still for longer than its class
/// allows, and goes on. Cause: only the average time between tokens is judged. On a
/// heavy day the log had 1,319 of 1,405 streams in target, and callers 189 late ones.
#[test]
fn an_answer_that_stood_still_for_too_long_is_late() {
    assert!(outcome_of(Duration::from_millis(250)).met_target);
    let stalled = outcome_of(Duration::from_millis(251));
    assert!(!stalled.met_target);
    assert_eq!(stalled.longest_pause, Duration::from_millis(251));
}
