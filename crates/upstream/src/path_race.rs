//! Opens a connection over whichever path connects first.

use super::*;

/// Delay between the start of an attempt and the start of the next one. Connecting normally takes a
/// few milliseconds.
const ATTEMPT_DELAY: Duration = Duration::from_millis(60);

/// An attempt that has not ended.
struct PendingAttempt {
    started: Instant,
    path: Path,
}

/// Tries paths in order and returns the first established connection. The attempt for the next path
/// starts [`ATTEMPT_DELAY`] after the start of the attempt before or as soon as an attempt fails,
/// while earlier attempts continue.
///
/// If each attempt had the whole timeout to itself, every request would wait that long on a host
/// whose paths drop packets silently and which has not detected this yet.
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
    let mut results = Vec::new();
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
            Err(outcome) => results.push(PathAttempt { outcome, path }),
        }
    }
    // An attempt that ran for less than the delay says nothing about its path.
    let overdue = pending
        .iter()
        .filter(|pending| pending.started.elapsed() >= ATTEMPT_DELAY);
    results.extend(overdue.map(|pending| PathAttempt {
        outcome: PathOutcome::NoAnswer,
        path: pending.path,
    }));
    results.extend(opened.iter().map(|(path, _)| PathAttempt {
        outcome: PathOutcome::Connected,
        path: *path,
    }));
    (opened, results)
}
