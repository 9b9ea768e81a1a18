//! Callers: each sends one request after the other to its host, at a steady pace.

use {
    crate::{http, record::Record},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// What a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub key: &'static str,
    pub method: &'static str,
    pub path: &'static str,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub host: String,
    pub id: String,
    pub kind: Kind,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// All requests of a run.
#[derive(Clone)]
pub struct Callers {
    next: Arc<AtomicU64>,
    record: Record,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
}

/// Name of the host in the requests.
pub const HOSTNAME: &str = "shop.example";

/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

impl Callers {
    pub fn new(record: &Record) -> Self {
        Self {
            next: Arc::default(),
            record: record.clone(),
            sent: Arc::default(),
            stop: Arc::default(),
        }
    }

    /// Starts a caller that sends the kinds in turn.
    pub fn start(&self, host: &str, to: SocketAddr, kinds: &'static [Kind], pause: Duration) {
        let (callers, host) = (self.clone(), host.to_string());
        std::thread::spawn(move || {
            for kind in kinds.iter().cycle() {
                if callers.stop.load(Ordering::Relaxed) {
                    return;
                }
                callers.send(&host, to, *kind);
                std::thread::sleep(pause);
            }
        });
    }

    pub fn send(&self, host: &str, to: SocketAddr, kind: Kind) -> Sent {
        let id = format!(
            "{:016x}",
            0x5eed_0000 + self.next.fetch_add(1, Ordering::Relaxed)
        );
        let at = Instant::now();
        let limit = TIME_LIMIT.as_millis().to_string();
        let headers = [
            ("Host", HOSTNAME),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", &limit),
            ("Api-Key", kind.key),
            ("Connection", "close"),
        ];
        let answer = http::call(to, kind.method, kind.path, &headers, b"", TIME_LIMIT);
        let status = answer.as_ref().map_or(0, http::Message::status);
        let own = answer.filter(|_| status != 200).map(|answer| answer.body);
        let own = String::from_utf8_lossy(&own.unwrap_or_default()).to_string();
        self.record.note_at(
            at,
            format!(
                "{id} {} {} with key {} sent to {host}: {status} {own}",
                kind.method, kind.path, kind.key
            ),
        );
        let sent = Sent {
            at,
            host: host.to_string(),
            id,
            kind,
            status,
        };
        self.sent.lock().unwrap().push(sent.clone());
        sent
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn all(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}
