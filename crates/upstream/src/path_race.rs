//! Opening a connection over the first path that connects.

use super::*;

/// Head start of each path over the next one: a connection takes a few milliseconds.
const ATTEMPT_DELAY: Duration = Duration::from_millis(60);

/// A path whose attempt has not ended.
struct PendingAttempt {
    started: Instant,
    path: Path,
}

/// Tries paths one after the other, each after a head start of the one before or as soon as that
/// fails; the first established connection is taken.
///
/// What goes wrong if each is given its whole time: a host that has lost its paths silently, and
/// does not know it yet, lets every request wait for that time.
pub(crate) async fn open_first<T, F>(
    paths: &[Path],
    connect_timeout: Duration,
    connect: impl Fn(Path) -> F,
) -> (Option<(Path, T)>, Vec<PathAttempt>)
where
    F: Future<Output = Result<T, PathOutcome>>,
{
    let end = Instant::now() + connect_timeout;
    let mut remaining = paths.iter().copied();
    let mut attempts = FuturesUnordered::new();
    let mut pending: Vec<PendingAttempt> = Vec::new();
    let mut tries = Vec::new();
    let mut opened = None;
    let mut starts_next = true;
    while opened.is_none() {
        let now = Instant::now();
        if starts_next && let Some(path) = remaining.next() {
            let attempt = connect(path);
            attempts.push(async move { (path, attempt.await) });
            pending.push(PendingAttempt { started: now, path });
        }
        if attempts.is_empty() || now >= end {
            break;
        }
        let wait = if remaining.len() == 0 {
            end - now
        } else {
            ATTEMPT_DELAY.min(end - now)
        };
        starts_next = true;
        let Ok(Some((path, result))) = timeout(wait, attempts.next()).await else {
            continue;
        };
        pending.retain(|pending| pending.path != path);
        match result {
            Ok(connection) => opened = Some((path, connection)),
            Err(outcome) => tries.push(PathAttempt { outcome, path }),
        }
    }
    // One that had no head start says nothing.
    let overdue = pending
        .iter()
        .filter(|pending| pending.started.elapsed() >= ATTEMPT_DELAY);
    tries.extend(overdue.map(|pending| PathAttempt {
        outcome: PathOutcome::NoAnswer,
        path: pending.path,
    }));
    tries.extend(opened.iter().map(|(path, _)| PathAttempt {
        outcome: PathOutcome::Connected,
        path: *path,
    }));
    (opened, tries)
}
