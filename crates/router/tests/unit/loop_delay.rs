use super::*;

const LATE: Duration = Duration::from_millis(400);
const IN_TIME: Duration = Duration::from_millis(20);

/// Guards against refusing connections after a single pause, and long after an overload.
#[test]
fn only_a_lasting_delay_is_an_overload() {
    let mut delay = LoopDelay::default();
    let overloaded = |delay: &mut LoopDelay, late: Duration| {
        delay.note_tick(late);
        delay.is_overloaded()
    };
    assert!(!overloaded(&mut delay, Duration::from_secs(9)));
    assert!(!overloaded(&mut delay, IN_TIME));
    assert!(!overloaded(&mut delay, LATE));
    assert!(!overloaded(&mut delay, LATE));
    assert!(overloaded(&mut delay, LATE));
    assert!(!overloaded(&mut delay, IN_TIME));
}
