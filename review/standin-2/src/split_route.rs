//! Callers upload bodies that take a second and a half. Meanwhile the operator splits the route
//! of these requests into two, which both versions of the configuration allow.

use {
    crate::{
        Verdict,
        deployment::{Deployment, config, route},
        record::Record,
        site::{Host, ask, request},
    },
    platform_standin::Caller,
    serde_json::Value,
    std::{path::Path, sync::Arc, thread, time::Duration},
};

const KEY: &str = "key-of-shop";

/// Uploads at each host.
const UPLOADS_PER_HOST: usize = 4;

/// Pieces of a body, the size of each, and the pause after each.
const PIECES: usize = 15;
const PIECE_BYTES: usize = 4_096;
const PAUSE: Duration = Duration::from_millis(100);

/// Denials that the rule allows in any case, and one more for each of so many requests.
const ALLOWED: usize = 5;
const REQUESTS_PER_DENIAL: usize = 500;

fn one_route() -> Value {
    let routes = [route("order", "/order/", "non_idempotent")];
    config(3, &routes, &[("shop-team", &[KEY])])
}

fn two_routes() -> Value {
    let routes = [
        route("order-cloth", "/order/cloth/", "non_idempotent"),
        route("order-thread", "/order/thread/", "non_idempotent"),
    ];
    config(5, &routes, &[("shop-team", &[KEY])])
}

/// Sends one request piece by piece; returns the status, or 0 without an answer.
fn upload(host: &Host, attempt: &str, record: &Record) -> u16 {
    let Ok(mut caller) = Caller::try_connect(host.callers) else {
        return 0;
    };
    let length = PIECES * PIECE_BYTES;
    let head = format!(
        "POST /order/cloth/7 HTTP/1.1\r\nHost: quilts.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 5000\r\nApi-Key: {KEY}\r\nContent-Length: {length}\r\n\r\n"
    );
    let sent = record.now();
    let piece = "x".repeat(PIECE_BYTES);
    if caller.try_send(&head).is_err() {
        return 0;
    }
    for _ in 0..PIECES {
        thread::sleep(PAUSE);
        if caller.try_send(&piece).is_err() {
            break;
        }
    }
    let answer = caller.read();
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let body = answer.map_or_else(String::new, |answer| answer.body);
    record.note(&format!(
        "{attempt} to {} sent from {:.3} on: {status} {body}",
        host.name,
        sent.as_secs_f64()
    ));
    status
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, record, one_route()) else {
        return Verdict::NotRun;
    };
    let hosts = &deployment.hosts;
    let statuses: Vec<u16> = thread::scope(|scope| {
        let uploads: Vec<_> = hosts
            .iter()
            .flat_map(|host| (0..UPLOADS_PER_HOST).map(move |number| (host, number)))
            .map(|(host, number)| {
                let attempt = format!("upload-{}-{number}", host.name);
                scope.spawn(move || upload(host, &attempt, record))
            })
            .collect();
        thread::sleep(PAUSE * PIECES as u32 / 2);
        if has_trouble {
            deployment.store.put("op", "config", two_routes());
            record.note("configuration 5 acknowledged: the route is split");
        }
        uploads
            .into_iter()
            .map(|upload| upload.join().unwrap_or(0))
            .collect()
    });
    // The same requests are allowed afterwards.
    let mut served_after = 0;
    for (number, host) in hosts.iter().enumerate() {
        let request = request("POST /order/cloth/7", &format!("after-{number}"), KEY);
        let status = ask(host, &request).map_or(0, |answer| answer.status);
        record.note(&format!("after-{number} to {}: {status}", host.name));
        served_after += usize::from(status == 200);
    }
    let denied = statuses
        .iter()
        .filter(|status| (300..500).contains(*status))
        .filter(|status| ![408, 421, 429].contains(*status))
        .count();
    let all = statuses.len() + hosts.len();
    record.note(&format!(
        "{denied} of {all} proper requests were denied, {served_after} of {} served afterwards",
        hosts.len()
    ));
    if denied > ALLOWED + all / REQUESTS_PER_DENIAL {
        Verdict::Broken
    } else if served_after == hosts.len() {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}
