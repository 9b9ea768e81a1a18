//! A small deployment: hosts as processes of their own, before stand-ins of the store and the
//! servers. All addresses are loopback addresses with free ports.

use {
    crate::record::Record,
    platform_standin::{Caller, CallerResponse, ServerStandin, Step, StoreStandin, answer},
    serde_json::{Value, json},
    std::{
        fs::OpenOptions,
        io::Write,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Heartbeat interval of the servers.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A host: its settings file, its addresses and, while it runs, its process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Host {
    /// Writes the settings that `deploy/host.toml.template` gives to a host.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (callers, ready, peers, metrics) = (free_port(), free_port(), free_port(), free_port());
        let text = format!(
            "host = \"{name}\"\nfailure_domain = \"{zone}\"\ncaller_address = \"{callers}\"\n\
             operator_address = \"{ready}\"\npeer_address = \"{peers}\"\n\
             platform_address = \"{store}\"\nmetrics_address = \"{metrics}\"\n\
             operator_token = \"operator-of-{name}\"\npeer_token = \"hosts-of-{store}\"\n\
             balancer_pause_ms = 3000\n\n[limits]\nhead_timeout_ms = 16000\n\
             max_descriptors = 4100\n\n[relay]\napply_limit_ms = 2000\ndrain_limit_s = 8\n\
             first_start = false\nkey_knowledge_limit_ms = 5000\nretry_extra = 54\n\
             retry_ratio = 0.2\nretry_window_s = 10\n"
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).expect("the settings can be written");
        Self {
            name: name.to_string(),
            callers,
            ready,
            file,
            log: folder.join(format!("{name}.log")),
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be opened twice");
        let process = Command::new("target/release/rhubarbcove")
            .arg("run")
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the host can be started");
        note_process(&self.file, process.id());
        self.process = Some(process);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Status of the readiness check; 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let Ok(mut caller) = Caller::try_connect(self.ready) else {
            return 0;
        };
        let request = "GET /readyz HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        if caller.try_send(request).is_err() {
            return 0;
        }
        caller.read().map_or(0, |response| response.status)
    }
}

/// Notes the id of a process in the folder of the run, so that the script can end what is left if
/// this program is ended.
fn note_process(settings: &Path, id: u32) {
    let list = settings.with_file_name("processes");
    let list = OpenOptions::new().append(true).create(true).open(list);
    let mut list = list.expect("the list of processes can be opened");
    writeln!(list, "{id}").expect("the list of processes can be written");
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub server: String,
    pub tenant: String,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a server of the `shop` that answers after `work`, and records what it runs.
pub fn shop_server(name: &str, work: Duration, runs: &Runs, record: &Arc<Record>) -> ServerStandin {
    let (name, runs, record) = (name.to_string(), Arc::clone(runs), Arc::clone(record));
    ServerStandin::start(move |request| {
        let run = Run {
            at: record.now(),
            attempt: request.header("x-attempt-id").to_string(),
            server: name.clone(),
            tenant: request.header("x-tenant-name").to_string(),
        };
        runs.lock().unwrap().push(run);
        vec![
            Step::Sleep(work),
            Step::Write(answer(request, "200 OK", "body of the answer")),
        ]
    })
}

/// The row that a server writes about itself; `born` is the Unix millisecond of its start.
pub fn entry(service: &str, address: SocketAddr, zone: &str, sequence: u64, born: u64) -> Value {
    json!({
        "service": service, "address": address, "zone": zone, "version": "v1", "born": born,
        "slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
    })
}

/// A server: its id, its address and its zone.
pub type Server = (String, SocketAddr, String);

/// Servers that renew their rows every [`HEARTBEAT`], as long as the store answers.
pub struct Heartbeats {
    paused: Arc<AtomicBool>,
    servers: Arc<Mutex<Vec<Server>>>,
    stopped: Arc<AtomicBool>,
    store: StoreStandin,
}

impl Heartbeats {
    pub fn start(store: &StoreStandin, servers: Vec<Server>) -> Self {
        let heartbeats = Self {
            paused: Arc::default(),
            servers: Arc::new(Mutex::new(servers)),
            stopped: Arc::default(),
            store: store.clone(),
        };
        let (stopped, paused) = (
            Arc::clone(&heartbeats.stopped),
            Arc::clone(&heartbeats.paused),
        );
        let (servers, store) = (Arc::clone(&heartbeats.servers), store.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis() as u64);
        let sequence = AtomicU64::new(1);
        let write = move || {
            let sequence = sequence.fetch_add(1, Ordering::Relaxed);
            for (id, address, zone) in servers.lock().unwrap().iter() {
                store.put("servers", id, entry("shop", *address, zone, sequence, born));
            }
        };
        write();
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                if !paused.load(Ordering::Relaxed) {
                    write();
                }
            }
        });
        heartbeats
    }

    /// Writes nothing while the store is away.
    pub fn pause(&self, is_paused: bool) {
        self.paused.store(is_paused, Ordering::Relaxed);
    }

    /// Removes the row of a server that leaves, which writes it no more.
    pub fn leave(&self, leaving: &str) {
        let mut servers = self.servers.lock().unwrap();
        servers.retain(|(id, ..)| id != leaving);
        self.store.remove("servers", leaving);
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends one request on a new connection; `None` without a whole head of an answer.
pub fn ask(host: &Host, request: &str) -> Option<CallerResponse> {
    let mut caller = Caller::try_connect(host.callers).ok()?;
    caller.try_send(request).ok()?;
    caller.read()
}

/// A request with a key; `line` is the method and the path.
pub fn request(line: &str, attempt: &str, key: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: quilts.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 2500\r\nApi-Key: {key}\r\n\r\n"
    )
}

/// Waits until all hosts are ready; false after 20 s, or if one has ended.
pub fn wait_until_ready(hosts: &mut [Host]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if hosts.iter_mut().any(Host::has_ended) {
            return false;
        }
        if hosts.iter().all(|host| host.readiness() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// First of the ports for hosts. They lie below those that the system gives to outgoing
/// connections, one of which could take the port of a host that starts again.
const FIRST_PORT: u16 = 18_000;

/// Number of ports for hosts.
const PORTS: u64 = 12_000;

/// A port that is free for TCP and UDP.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = u64::from(std::process::id()) * 61 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (number % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
