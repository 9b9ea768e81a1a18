//! Script language for tests of controllers. A script lists events, such as messages that arrive,
//! are lost or are duplicated and clocks that stop, together with the expected output.
//!
//! Time passes only with the directive `advance ms=N`. Each directive prints the resulting actions,
//! one per line. Run the tests with `REWRITE=1` to write the current output into the scripts, and
//! review the difference.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, VersionedDocument},
    datadriven::TestCase,
    peer::{Grant, Heartbeat, HeartbeatAnswer, PeerHost},
    policy::{
        Action, Arrival, AttemptEnd, ClaimResult, Controller, ControllerOptions, Event, Outcome,
        Refusal, Repeatability, SlotRules, StoredResponse, Target,
    },
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write, str::FromStr, sync::Arc, time::Duration},
    types::prelude::*,
};

mod document;
mod render;
mod scripted_host;

use {document::document, render::render, scripted_host::ScriptedHost};

/// Host of a script that names no host.
const DEFAULT_HOST: &str = "host-0";

/// Controllers that a script drives.
pub struct Script {
    hosts: BTreeMap<String, ScriptedHost>,
    start_count: u64,
    version: ConfigVersion,
}

impl Script {
    pub fn new() -> Self {
        Self {
            hosts: BTreeMap::new(),
            start_count: 0,
            version: ConfigVersion::default(),
        }
    }

    /// Runs one directive on the host that it names, and returns the resulting output.
    pub fn run(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        match case.directive.as_str() {
            "advance" => self.advance(&args),
            "configure" => self.configure(case),
            "deliver" => self.deliver(&args),
            "list" => self.list(&args),
            "lose" => self.lose(&args),
            "shares" => self.run_on_each_host(|host| host.shares()),
            "start" => {
                let (host, domain) = (args.get::<String>("host"), args.get::<String>("domain"));
                self.start(&host, &domain, !args.has("unlisted"));
                String::new()
            }
            _ => self.run_on_host(case),
        }
    }

    fn run_on_host(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        let host = self.host(&args);
        match case.directive.as_str() {
            "arrive" => arrive(host, &args),
            "claim" => {
                let answer = claim_result(&args);
                let request = args.get("id");
                host.handle(Event::ClaimAnswered { answer, request })
            }
            "complete" => {
                let tokens = args.get_or("tokens", Tokens::new(1));
                let answer = args.text("body").map(stored_response);
                let longest_pause = args.pause();
                let completed = AttemptEnd::Completed {
                    response: answer,
                    longest_pause,
                    tokens,
                };
                end_attempts(host, &args, completed)
            }
            "drain" => host.handle(Event::DrainStarted { end: None }),
            "fail" => {
                let failed = AttemptEnd::Failed {
                    cause: failure_cause(&args),
                    delivered: args.has("delivered"),
                    tokens: args.get_or("tokens", Tokens::default()),
                    verdict: args.get("verdict"),
                };
                end_attempts(host, &args, failed)
            }
            "gone" => {
                let request = args.get("id");
                host.handle(Event::CallerGone { request })
            }
            "listed" => {
                let leaving = args.list("leaving").into_iter();
                let leaving = leaving.map(|id| id.parse().unwrap());
                let leaving = leaving.collect();
                host.handle(Event::UpstreamsListed { leaving })
            }
            "load" => {
                let report = LoadReport {
                    age_ms: 0,
                    leaving: args.has("leaving"),
                    running: args.get_or("running", 0),
                    waiting: args.get_or("waiting", 0),
                };
                let upstream = args.get("upstream");
                host.handle(Event::LoadReported { report, upstream })
            }
            "probe" => {
                let healthy = args.get("healthy");
                let upstream = args.get("upstream");
                host.handle(Event::ProbeAnswered { healthy, upstream })
            }
            "progress" => {
                let request = args.get("id");
                let attempt = host.attempts[&request];
                let tokens = args.get("tokens");
                host.handle(Event::Progressed {
                    attempt,
                    longest_pause: args.pause(),
                    request,
                    tokens,
                })
            }
            "status" => host.status(),
            other => panic!("unknown directive {other}"),
        }
    }

    fn start(&mut self, name: &str, domain: &str, has_upstream_list: bool) {
        self.start_count += 1;
        let host = ScriptedHost::new(name, domain, self.start_count, has_upstream_list);
        self.hosts.insert(name.to_string(), host);
    }

    fn host(&mut self, args: &Args<'_>) -> &mut ScriptedHost {
        if self.hosts.is_empty() {
            self.start(DEFAULT_HOST, "a", true);
        }
        let name = args.text("host").unwrap_or(DEFAULT_HOST.to_string());
        self.hosts
            .get_mut(&name)
            .unwrap_or_else(|| panic!("unknown host {name}"))
    }

    /// Calls `run` for every host. If there are several hosts, each output line starts with the
    /// name of its host.
    fn run_on_each_host(&mut self, mut run: impl FnMut(&mut ScriptedHost) -> String) -> String {
        let has_several_hosts = self.hosts.len() > 1;
        let mut output = String::new();
        for (name, host) in &mut self.hosts {
            for line in run(host).lines() {
                let _ = match has_several_hosts {
                    true => writeln!(output, "{name}: {line}"),
                    false => writeln!(output, "{line}"),
                };
            }
        }
        output
    }

    /// Advances the time on all hosts except those in `frozen=`, whose clocks have stopped. With
    /// `deliver`, heartbeats are delivered after each step of 10 ms.
    fn advance(&mut self, args: &Args<'_>) -> String {
        let ms: u64 = args.get("ms");
        let frozen = args.list("frozen");
        if !args.has("deliver") {
            return self.run_on_each_host(|host| match is_frozen(host, &frozen) {
                true => String::new(),
                false => host.advance(ms),
            });
        }
        for _ in 0..ms / 10 {
            self.run_on_each_host(|host| match is_frozen(host, &frozen) {
                true => String::new(),
                false => host.advance(10),
            });
            let senders: Vec<String> = self.hosts.keys().cloned().collect();
            for sender in senders {
                self.exchange(&sender, &frozen, false);
            }
        }
        String::new()
    }

    /// Delivers the pending heartbeat of a host, and the response. `twice` duplicates the
    /// heartbeat, `answer-lost` drops the response.
    fn deliver(&mut self, args: &Args<'_>) -> String {
        let from: String = args.get("from");
        if args.has("twice") {
            self.deliver_heartbeat(&from, &[]);
        }
        self.exchange(&from, &[], args.has("answer-lost"))
    }

    fn lose(&mut self, args: &Args<'_>) -> String {
        let from: String = args.get("from");
        let frozen = self.hosts.keys().cloned().collect::<Vec<_>>();
        self.exchange(&from, &frozen, true)
    }

    /// Delivers the pending heartbeat of a host, and returns the response.
    fn deliver_heartbeat(&mut self, from: &str, frozen: &[String]) -> Option<HeartbeatAnswer> {
        let pending = self.hosts[from].pending.as_ref()?;
        let (to, heartbeat) = (pending.to.clone(), pending.heartbeat.clone());
        let host = self.hosts.get_mut(&to).filter(|_| !frozen.contains(&to))?;
        host.handle(Event::HeartbeatReceived { call: 0, heartbeat });
        host.answer.take()
    }

    fn exchange(&mut self, from: &str, frozen: &[String], loses_answer: bool) -> String {
        let answer = self
            .deliver_heartbeat(from, frozen)
            .filter(|_| !loses_answer);
        let host = self.hosts.get_mut(from).unwrap();
        let Some(pending) = host.pending.take() else {
            return String::new();
        };
        host.handle(Event::HeartbeatAnswered {
            answer,
            sent: pending.sent_at,
            host: pending.to.parse().unwrap(),
        })
    }

    /// Provides the platform's list of hosts to the hosts in `to`, or to all hosts without `to`.
    fn list(&mut self, args: &Args<'_>) -> String {
        let leaving = args.list("leaving");
        let hosts: Vec<PeerHost> = args
            .list("hosts")
            .iter()
            .enumerate()
            .map(|(number, name)| PeerHost {
                address: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
                failure_domain: name[..1].parse().unwrap(),
                host: name.parse().unwrap(),
                leaving: leaving.contains(name),
            })
            .collect();
        let to = args.list("to");
        self.run_on_each_host(|host| {
            let reads_list = to.is_empty() || to.contains(&name_of(host));
            match reads_list {
                true => host.handle(Event::HostsListed {
                    hosts: hosts.clone(),
                }),
                false => String::new(),
            }
        })
    }

    fn configure(&mut self, case: &TestCase) -> String {
        if self.hosts.is_empty() {
            self.start(DEFAULT_HOST, "a", true);
        }
        let edits: Value = if case.input.trim().is_empty() {
            json!({})
        } else {
            serde_json::from_str(&case.input).unwrap()
        };
        let args = Args(case);
        let version = args.get_or("version", self.version.next());
        self.version = self.version.max(version);
        let document = Document::from_value(document(&args, edits)).unwrap();
        let versioned = Arc::new(VersionedDocument { document, version });
        let to = args.list("to");
        self.run_on_each_host(|host| match to.is_empty() || to.contains(&name_of(host)) {
            true => host.handle(Event::ConfigurationRead(Arc::clone(&versioned))),
            false => String::new(),
        })
    }
}

fn name_of(host: &ScriptedHost) -> String {
    host.controller.host().to_string()
}

fn is_frozen(host: &ScriptedHost, frozen: &[String]) -> bool {
    frozen.contains(&name_of(host))
}

fn stored_response(body: String) -> StoredResponse {
    StoredResponse {
        body,
        content_type: "text/plain".to_string(),
        status: 200,
    }
}

fn arrive(host: &mut ScriptedHost, args: &Args<'_>) -> String {
    let key_hash = KeyHash::of_key(&args.text("team").unwrap_or("shop".to_string()));
    let target = match args.text("service") {
        Some(service) => Target::Service(service.parse().unwrap()),
        None => Target::Model(args.get_or("model", "small".parse().unwrap())),
    };
    let repeatability = match args.text("key") {
        Some(key) => Repeatability::AtMostOncePerKey {
            key: key.parse().unwrap(),
        },
        None if args.has("once") => Repeatability::AtMostOnce,
        None => Repeatability::AsConfigured,
    };
    let mut output = String::new();
    for id in args.list("id") {
        output += &host.handle(Event::Arrived(Arrival {
            class: args.text("class").map(|class| class.parse().unwrap()),
            fingerprint: Fingerprint::of_request("POST", "/", id.as_bytes()),
            key_hash: Some(key_hash),
            max_output: args.text("tokens").map(|tokens| tokens.parse().unwrap()),
            prefix: args.text("prefix").map(|prefix| prefix.parse().unwrap()),
            prompt_tokens: Tokens::default(),
            repeatability: repeatability.clone(),
            request: id.parse().unwrap(),
            routed: None,
            target: target.clone(),
        }));
    }
    output
}

fn end_attempts(host: &mut ScriptedHost, args: &Args<'_>, end: AttemptEnd) -> String {
    let mut output = String::new();
    for id in args.list("id") {
        let request = id.parse().unwrap();
        let Some(attempt) = host.attempts.get(&request).copied() else {
            let _ = writeln!(output, "{request} was never sent");
            continue;
        };
        output += &host.handle(Event::AttemptEnded {
            attempt,
            end: end.clone(),
            request,
        });
    }
    output
}

fn claim_result(args: &Args<'_>) -> ClaimResult {
    match args.text("answer").unwrap().as_str() {
        "in-progress" => ClaimResult::InProgress,
        "may-have-run" => ClaimResult::MayHaveRun,
        "not-tried" => ClaimResult::NotWritten,
        "ours" => ClaimResult::Granted,
        "ran" => ClaimResult::Ran(args.text("body").map(stored_response)),
        "reused" => ClaimResult::KeyReused,
        "unknown" => ClaimResult::Unknown,
        other => panic!("unknown claim answer {other}"),
    }
}

fn failure_cause(args: &Args<'_>) -> FailureCause {
    serde_json::from_value(args.text("cause").unwrap().into()).unwrap()
}

/// Arguments of a directive.
pub struct Args<'a>(&'a TestCase);

impl Args<'_> {
    pub fn has(&self, name: &str) -> bool {
        self.0.args.contains_key(name)
    }

    pub fn list(&self, name: &str) -> Vec<String> {
        self.0.args.get(name).cloned().unwrap_or_default()
    }

    pub fn text(&self, name: &str) -> Option<String> {
        self.list(name).into_iter().next()
    }

    pub fn get<T: FromStr>(&self, name: &str) -> T {
        let text = self
            .text(name)
            .unwrap_or_else(|| panic!("missing argument {name}"));
        text.parse()
            .unwrap_or_else(|_| panic!("invalid value of {name}: {text}"))
    }

    /// Longest pause between two parts of a stream.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(self.get_or("pause_ms", 0))
    }

    pub fn get_or<T: FromStr>(&self, name: &str, default: T) -> T {
        match self.has(name) {
            true => self.get(name),
            false => default,
        }
    }
}
