//! The hosts, as processes started with the command of the deploy file, with settings like those
//! that its template gives.

use {
    crate::http,
    std::{
        fs::File,
        io::Write,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
};

/// A host and its current process.
pub struct Host {
    pub callers: SocketAddr,
    child: Option<Child>,
    folder: PathBuf,
    pub name: String,
    operators: SocketAddr,
    settings: String,
    starts: u32,
}

/// What the settings of all hosts have in common.
pub struct Shared {
    /// The platform's interface for duties; `None` if there are none.
    pub cloud: Option<SocketAddr>,
    pub folder: PathBuf,
    pub store: SocketAddr,
}

impl Host {
    pub fn new(name: &str, zone: &str, shared: &Shared) -> Self {
        let (callers, operators) = (free_address(), free_address());
        let (peers, metrics) = (free_address(), free_address());
        let store = shared.store;
        let mut settings = format!(
            r#"host = "{name}"
failure_domain = "{zone}"
caller_address = "{callers}"
operator_address = "{operators}"
peer_address = "{peers}"
platform_address = "{store}"
metrics_address = "{metrics}"
operator_token = "operator-of-{name}"
peer_token = "hosts-of-{store}"
balancer_pause_ms = 3000

[limits]
head_timeout_ms = 16000
max_descriptors = 4100

[relay]
apply_limit_ms = 3000
drain_limit_s = 8
first_start = FIRST_START
key_knowledge_limit_ms = 5000
retry_extra = 172
retry_ratio = 0.2
retry_window_s = 10
"#
        );
        if let Some(cloud) = shared.cloud {
            settings += &format!(
                r#"
[relay.duties]
address = "{cloud}"
kinds = ["usage_report", "autoscale"]
lease_ms = 3000
usage_late_s = 10
usage_window_s = 5
"#
            );
        }
        Self {
            callers,
            child: None,
            folder: shared.folder.clone(),
            name: name.to_string(),
            operators,
            settings,
            starts: 0,
        }
    }

    pub fn start(&mut self) {
        let file = self.folder.join(format!("{}.toml", self.name));
        let first = (self.starts == 0).to_string();
        std::fs::write(&file, self.settings.replace("FIRST_START", &first)).unwrap();
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).unwrap();
        let child = Command::new("target/release/rhubarbcove")
            .arg("run")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("target/release/rhubarbcove is built");
        note_process(&self.folder, child.id());
        self.child = Some(child);
        self.starts += 1;
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.operators,
            "GET",
            "/readyz",
            &[],
            b"",
            Duration::from_millis(300),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts say that they are ready.
pub fn wait_ready(hosts: &[Host], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Keeps the id of a process that was started, so that it can be ended if this program is killed.
fn note_process(folder: &Path, id: u32) {
    let file = File::options()
        .append(true)
        .create(true)
        .open(folder.join("processes"));
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

/// Ports for the hosts, below those that systems usually give to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Number of addresses that were looked at.
static LOOKED_AT: AtomicU32 = AtomicU32::new(0);

/// An address that no other host of this run gets, and at which nobody listens. Runs begin at
/// different ports.
fn free_address() -> SocketAddr {
    loop {
        let count = PORTS.end - PORTS.start;
        let first = std::process::id().wrapping_mul(97) % count;
        let offset = first + LOOKED_AT.fetch_add(1, Ordering::Relaxed);
        let port = (PORTS.start + offset % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
