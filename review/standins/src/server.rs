//! A sound server of a plain service: it registers itself in the store, renews its entry, runs what
//! it gets and answers it.

use {
    crate::{http, record::Record, store::Store},
    serde_json::json,
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two renewals of an entry, as in the settings of the sites.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// Time within which a server that finds its store in a new era writes its entry again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(60);

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub server: String,
    pub service: String,
    pub tenant: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server that runs.
pub struct Started {
    pub id: String,
    ended: Arc<AtomicBool>,
    leaves: Arc<AtomicBool>,
    renewing: std::thread::JoinHandle<()>,
}

impl Started {
    /// The server leaves without a word: its entry is removed, and it goes on serving until `end`
    /// is called. Returns the time of the store's acknowledgement.
    pub fn leave(self, store: &Store) -> (Instant, impl FnOnce() + use<>) {
        self.leaves.store(true, Ordering::Relaxed);
        let _ = self.renewing.join();
        while store.remove("servers", &self.id).is_none() {
            std::thread::sleep(Duration::from_millis(5));
        }
        let ended = self.ended;
        (Instant::now(), move || ended.store(true, Ordering::Relaxed))
    }
}

/// What a server says of itself.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub zone: String,
}

impl Server {
    pub fn start(self, store: &Store, runs: &Runs, record: &Record) -> Started {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (leaves, ended) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (server, runs, record) = (self.clone(), Arc::clone(runs), record.clone());
        let has_ended = Arc::clone(&ended);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let (server, runs, record) = (server.clone(), Arc::clone(&runs), record.clone());
                let has_ended = Arc::clone(&has_ended);
                std::thread::spawn(move || server.serve(stream, &runs, &record, &has_ended));
            }
        });
        let (store, is_leaving) = (store.clone(), Arc::clone(&leaves));
        let id = self.id.clone();
        Started {
            id,
            ended,
            leaves,
            renewing: std::thread::spawn(move || self.renew(&store, address, &is_leaving)),
        }
    }

    fn renew(&self, store: &Store, address: SocketAddr, leaves: &AtomicBool) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = born.as_millis() as u64;
        let number = self.id.bytes().map(u64::from).sum::<u64>();
        // The servers do not renew their entries at the same moment.
        let mut due = Instant::now() + HEARTBEAT * (number % 12) as u32 / 12;
        let mut era = 0;
        for sequence in 0_u64.. {
            let row = json!({
                "address": address.to_string(), "born": born, "cold-remaining-ms": 0,
                "sequence": sequence, "service": self.service, "slots": self.slots,
                "state": "ready", "version": "v1", "zone": self.zone,
            });
            while store.put("servers", &self.id, &row).is_none() {
                std::thread::sleep(Duration::from_millis(20));
            }
            era = store.era().max(era);
            while Instant::now() < due && store.era() == era && !leaves.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
            }
            if leaves.load(Ordering::Relaxed) {
                return;
            }
            if store.era() != era {
                std::thread::sleep(WRITTEN_AGAIN * (number % 6 + 1) as u32 / 6);
            } else {
                due += HEARTBEAT;
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, runs: &Runs, record: &Record, ended: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buffer) {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            if request.target() == "/health" {
                let answer = http::response(200, &[("X-Instance-Id", &self.id)], b"");
                if stream.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_string();
            let expected = request.header("x-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("X-Attempt-Id", id.as_str()), ("X-Instance-Id", &self.id)];
                let _ = stream.write_all(&http::response(421, &headers, b""));
                continue;
            }
            let tenant = request
                .header("x-tenant-name")
                .unwrap_or_default()
                .to_string();
            record.note(format!(
                "server {} ({}) runs {id} of tenant {tenant:?}: {}",
                self.id, self.service, request.line
            ));
            runs.lock().unwrap().push(Run {
                at: Instant::now(),
                request: id.clone(),
                server: self.id.clone(),
                service: self.service.clone(),
                tenant,
            });
            std::thread::sleep(WORK);
            let seal = format!("seal-of-{}", self.id);
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Server-Seal", &seal),
                ("Keep-Alive", "timeout=5"),
            ];
            let body = format!("done by {} of {}\n", self.id, self.service);
            if stream
                .write_all(&http::response(200, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }
}
