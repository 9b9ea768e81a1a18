//! Runs the real binary in separate processes: settings, signals, killed and frozen hosts.

#![allow(missing_docs, clippy::unwrap_used)]

mod site;

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    site::Site,
    std::{
        io::{BufRead, Write},
        net::SocketAddr,
        process::{Child, Command, Output, Stdio},
        time::Duration,
    },
    store::{ListedHost, ListedState},
};

/// A host in a separate process, which is killed when this value is dropped.
struct Process {
    callers: SocketAddr,
    child: Child,
    file: std::path::PathBuf,
    name: String,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl Process {
    fn start(site: &Site, name: &str) -> Self {
        Self::start_logging_to(site, name, Stdio::null())
    }

    fn start_logging_to(site: &Site, name: &str, output: Stdio) -> Self {
        let [callers, operators, peers] = free_addresses();
        let settings = settings(name, callers, operators, peers, site.platform.address());
        let file = settings_file(name, &settings);
        let child = Command::new(env!("CARGO_BIN_EXE_rhubarbcove"))
            .arg("run")
            .arg(&file)
            .stderr(Stdio::null())
            .stdout(output)
            .spawn()
            .unwrap();
        Self {
            callers,
            child,
            file,
            name: name.to_string(),
            operators,
            peers,
        }
    }

    async fn ready(&self) {
        let deadline = tokio::time::Instant::now() + site::WAIT_TIMEOUT;
        loop {
            if self.is_ready().await {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "{} is never ready",
                self.name
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        if tokio::net::TcpStream::connect(self.operators)
            .await
            .is_err()
        {
            return false;
        }
        let request = hyper::Request::get("/readyz")
            .body(http_body_util::Full::default())
            .unwrap();
        site::exchange(self.operators, request).await.status() == 200
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    fn listed(&self) -> ListedHost {
        ListedHost {
            failure_domain: "north-a".parse().unwrap(),
            host: self.name.parse().unwrap(),
            peer_address: self.peers,
            state: ListedState::Live,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addresses() -> [SocketAddr; 3] {
    [(); 3].map(|()| standin::free_address())
}

fn settings(
    name: &str,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    platform: SocketAddr,
) -> String {
    format!(
        "balancer_pause_ms = 100\ncaller_address = \"{callers}\"\nfailure_domain = \"north-a\"\n\
         host = \"{name}\"\noperator_address = \"{operators}\"\n\
         operator_token = \"operator-token-of-tests\"\npeer_address = \"{peers}\"\n\
         peer_token = \"peer-token-of-all-tests\"\nplatform_address = \"{platform}\"\n"
    )
}

fn settings_file(name: &str, settings: &str) -> std::path::PathBuf {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{name}-{}.toml", std::process::id()));
    std::fs::File::create(&file)
        .unwrap()
        .write_all(settings.as_bytes())
        .unwrap();
    file
}

fn check(name: &str, settings: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rhubarbcove"))
        .arg("check")
        .arg(settings_file(name, settings))
        .output()
        .unwrap()
}

#[test]
fn settings_are_checked_with_line_and_expectation() {
    let [a, b, c] = free_addresses();
    let platform = "127.0.0.1:9".parse().unwrap();
    let good = settings("checked", a, b, c, platform);
    let output = check("good", &good);
    assert!(output.status.success(), "{output:?}");
    let cases = [
        (
            "unknown",
            good.clone() + "drain_s = 5\n",
            "unknown field `drain_s`",
        ),
        (
            "unit",
            good.replace("balancer_pause_ms", "balancer_pause_s"),
            "line 1",
        ),
        (
            "twice",
            good.clone() + "host = \"other\"\n",
            "duplicate key",
        ),
        ("text", good.replace("= 100", "= \"100\""), "expected u64"),
        (
            "address",
            good.replace(&b.to_string(), &a.to_string()),
            "are both",
        ),
        (
            "token",
            good.replace("operator-token-of-tests", "short"),
            "at least 16",
        ),
        (
            "name",
            good.replace("\"north-a\"", "\"north a\""),
            "failure domain id",
        ),
    ];
    for (name, text, expected) in cases {
        let output = check(name, &text);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{name} passes");
        assert!(error.contains(expected), "{name}: {error}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_a_process_without_cutting_its_stream() {
    let site = Site::with_engines(1).start().await;
    let mut process = Process::start(&site, "term-0");
    process.ready().await;
    let request = site
        .ask("question")
        .tagged("long")
        .output_tokens(400)
        .request();
    let callers = process.callers;
    let ask =
        tokio::spawn(
            async move { site::Answer::read(site::exchange(callers, request).await).await },
        );
    site.until("it runs", |site| site.log.count("long") == 1)
        .await;
    process.signal(Signal::SIGTERM);
    // A second SIGTERM has no further effect.
    process.signal(Signal::SIGTERM);
    ask.await.unwrap().assert_whole("long", 400);
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap());
    assert!(status.await.unwrap().success());
}

/// Guards against a second run, such as a confirmation sent twice, after a host dies. The host
/// is killed while it runs a keyed request, and the caller retries at another host. A second run
/// occurs if the claim is lost with the host or if the other host takes the claim over.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_of_a_killed_host_is_never_run_again() {
    let site = Site::with_engines(0).and_service("orders").start().await;
    site.break_service(|faults| faults.delay_ms = 60_000);
    let process = Process::start(&site, "killed-0");
    process.ready().await;
    let ask = || {
        site.ask("order")
            .at_service("orders")
            .tagged("o")
            .with_key("k")
    };
    let (callers, request) = (process.callers, ask().request());
    let first = tokio::spawn(async move {
        let stream = tokio::net::TcpStream::connect(callers).await.unwrap();
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await.is_err()
    });
    site.until("it runs", |site| site.log.count("o") == 1).await;
    drop(process);
    assert!(first.await.unwrap(), "an answer from a killed host");
    let second = ask().send().await;
    assert_eq!(
        second.refusal(),
        (409, "request_in_progress", "may-have-run")
    );
    assert_eq!(site.log.count("o"), 1);
}

/// Guards against a resumed host that acts on outdated state. The coordinator's process is
/// frozen for longer than shares are valid, while other hosts serve, and then resumes. The
/// failure occurs if a host's view of its failure domain never expires.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_host_does_not_block_other_hosts() {
    let site = Site::with_engines(2).start().await;
    let processes: Vec<Process> = (0..3)
        .map(|number| Process::start(&site, &format!("frozen-{number}")))
        .collect();
    for process in &processes {
        process.ready().await;
    }
    site.platform
        .set_hosts(processes.iter().map(Process::listed).collect());
    for frozen in &processes {
        frozen.signal(Signal::SIGSTOP);
        for process in processes
            .iter()
            .filter(|process| process.name != frozen.name)
        {
            for number in 0..5 {
                let tag = format!("{}-{}-{number}", frozen.name, process.name);
                let request = site.ask("question").tagged(&tag).request();
                let answer = site::exchange(process.callers, request).await;
                site::Answer::read(answer).await.assert_whole(&tag, 4);
            }
        }
        frozen.signal(Signal::SIGCONT);
        let tag = format!("{}-again", frozen.name);
        let request = site.ask("question").tagged(&tag).request();
        let answer = site::exchange(frozen.callers, request).await;
        site::Answer::read(answer).await.assert_whole(&tag, 4);
    }
}

/// Guards against a host that stops serving, or cannot be stopped, because nobody reads its log.
/// Standard output is a pipe that is not read, and the log exceeds its capacity. The failure
/// occurs if the threads that serve requests write the log lines, or if the host waits without
/// a timeout for the last lines to be written.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_standard_output_does_not_block_the_host() {
    const REQUESTS: usize = 400;
    let site = Site::with_engines(1).start().await;
    let mut process = Process::start_logging_to(&site, "mute-0", Stdio::piped());
    process.ready().await;
    for number in 0..REQUESTS {
        let tag = format!("mute-{number}");
        let request = site.ask("question").tagged(&tag).request();
        let answer = site::exchange(process.callers, request).await;
        site::Answer::read(answer).await.assert_whole(&tag, 4);
    }
    process.signal(Signal::SIGTERM);
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap());
    assert!(status.await.unwrap().success());
}

/// Guards against cutting all requests in flight when the settings change. The host gets SIGHUP
/// while it answers, and its settings file is first made invalid, then changed. By default, SIGHUP
/// ends a process that does not handle it.
#[tokio::test(flavor = "multi_thread")]
async fn follows_changed_settings_without_cutting_a_request() {
    let site = Site::with_engines(1).start().await;
    let mut process = Process::start_logging_to(&site, "hup-0", Stdio::piped());
    let mut log = std::io::BufReader::new(process.child.stdout.take().unwrap());
    process.ready().await;
    let request = site
        .ask("question")
        .tagged("long")
        .output_tokens(400)
        .request();
    let callers = process.callers;
    let ask =
        tokio::spawn(
            async move { site::Answer::read(site::exchange(callers, request).await).await },
        );
    site.until("it runs", |site| site.log.count("long") == 1)
        .await;
    let good = std::fs::read_to_string(&process.file).unwrap();
    std::fs::write(&process.file, good.clone() + "unknown = 1\n").unwrap();
    process.signal(Signal::SIGHUP);
    assert!(read_until(&mut log, "host: settings not reloaded"));
    let changed = good.replace("balancer_pause_ms = 100", "balancer_pause_ms = 50");
    std::fs::write(&process.file, changed).unwrap();
    // Changed settings are also applied without a signal.
    assert!(read_until(&mut log, "host: settings reloaded"));
    ask.await.unwrap().assert_whole("long", 400);
    process.signal(Signal::SIGTERM);
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap());
    assert!(status.await.unwrap().success());
}

/// Reads log lines until one contains the text. Returns false if the log ends first.
fn read_until(log: &mut impl BufRead, text: &str) -> bool {
    let mut line = String::new();
    while log.read_line(&mut line).is_ok_and(|count| count > 0) {
        if line.contains(text) {
            return true;
        }
        line.clear();
    }
    false
}
