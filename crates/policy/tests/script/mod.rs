//! The test language of the controller: a script says what happens and when,
//! and what the controller is expected to do about it.
//!
//! Time stands still unless the script says `advance ms=N`. Each directive
//! prints the actions that follow from it, one a line. Run with `REWRITE=1` to
//! write the present behaviour into the scripts, and read the difference.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, Numbered},
    datadriven::TestCase,
    policy::{
        Action, Arrival, AttemptEnd, ClaimAnswer, Controller, ControllerOptions, Event, Outcome,
        Refusal, Repeatability, RoomRules, StoredAnswer, Target,
    },
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write, str::FromStr, sync::Arc},
    types::prelude::*,
};

mod document;
mod render;

use {document::document, render::render};

/// Length of one tick while time advances.
const TICK_MS: u64 = 10;

/// A controller under a script.
pub struct Script {
    attempts: BTreeMap<RequestId, AttemptId>,
    controller: Controller,
    now: Time,
    version: ConfigVersion,
}

impl Script {
    pub fn new() -> Self {
        Self {
            attempts: BTreeMap::new(),
            controller: Controller::new(ControllerOptions {
                incarnation: Incarnation::new(1),
                max_queued: 4,
                room: RoomRules::default(),
                seed: 1,
            }),
            now: Time::default(),
            version: ConfigVersion::default(),
        }
    }

    /// Carries one directive out and prints what followed.
    pub fn run(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        match case.directive.as_str() {
            "advance" => self.advance(args.get("ms")),
            "arrive" => self.arrive(&args),
            "claim" => {
                let answer = claim_answer(&args);
                let request = args.get("id");
                self.handle(Event::ClaimAnswered { answer, request })
            }
            "complete" => {
                let tokens = args.get_or("tokens", Tokens::new(1));
                let answer = args.text("body").map(|body| StoredAnswer {
                    body,
                    content_type: "text/plain".to_string(),
                    status: 200,
                });
                self.end(&args, AttemptEnd::Completed { answer, tokens })
            }
            "configure" => self.configure(case),
            "drain" => self.handle(Event::DrainStarted),
            "fail" => {
                let end = AttemptEnd::Failed {
                    cause: failure_cause(&args),
                    delivered: args.has("delivered"),
                    tokens: args.get_or("tokens", Tokens::default()),
                    verdict: args.get("verdict"),
                };
                self.end(&args, end)
            }
            "gone" => {
                let request = args.get("id");
                self.handle(Event::CallerGone { request })
            }
            "listed" => {
                let leaving = args.list("leaving").into_iter();
                let leaving = leaving.map(|id| id.parse().unwrap());
                let leaving = leaving.collect();
                self.handle(Event::UpstreamsListed { leaving })
            }
            "load" => {
                let report = LoadReport {
                    age_ms: 0,
                    leaving: args.has("leaving"),
                    running: args.get_or("running", 0),
                    waiting: args.get_or("waiting", 0),
                };
                let upstream = args.get("upstream");
                self.handle(Event::LoadReported { report, upstream })
            }
            "probe" => {
                let healthy = args.get("healthy");
                let upstream = args.get("upstream");
                self.handle(Event::ProbeAnswered { healthy, upstream })
            }
            "progress" => {
                let request = args.get("id");
                let attempt = self.attempts[&request];
                let tokens = args.get("tokens");
                self.handle(Event::Progressed {
                    attempt,
                    request,
                    tokens,
                })
            }
            "status" => self.status(),
            other => panic!("no directive {other}"),
        }
    }

    fn configure(&mut self, case: &TestCase) -> String {
        let edits: Value = if case.input.trim().is_empty() {
            json!({})
        } else {
            serde_json::from_str(&case.input).unwrap()
        };
        let args = Args(case);
        let version = args.get_or("version", self.version.next());
        self.version = self.version.max(version);
        let document = Document::from_value(document(&args, edits)).unwrap();
        let numbered = Arc::new(Numbered { document, version });
        self.handle(Event::ConfigurationRead(numbered))
    }

    fn arrive(&mut self, args: &Args<'_>) -> String {
        let key_hash = KeyHash::of_key(&args.text("team").unwrap_or("shop".to_string()));
        let target = match args.text("service") {
            Some(service) => Target::Service(service.parse().unwrap()),
            None => Target::Model(args.get_or("model", "small".parse().unwrap())),
        };
        let repeatability = match args.text("key") {
            Some(key) => Repeatability::AtMostOncePerKey {
                fingerprint: Fingerprint::of_request("POST", "/", b""),
                key: key.parse().unwrap(),
            },
            None if args.has("once") => Repeatability::AtMostOnce,
            None => Repeatability::AsConfigured,
        };
        let mut output = String::new();
        for id in args.list("id") {
            let arrival = Arrival {
                class: args.text("class").map(|class| class.parse().unwrap()),
                key_hash,
                max_output: args.text("tokens").map(|tokens| tokens.parse().unwrap()),
                prefix: args.text("prefix").map(|prefix| prefix.parse().unwrap()),
                prompt: Tokens::default(),
                repeatability: repeatability.clone(),
                request: id.parse().unwrap(),
                target: target.clone(),
            };
            output += &self.handle(Event::Arrived(arrival));
        }
        output
    }

    fn end(&mut self, args: &Args<'_>, end: AttemptEnd) -> String {
        let mut output = String::new();
        for id in args.list("id") {
            let request = id.parse().unwrap();
            let Some(attempt) = self.attempts.get(&request).copied() else {
                let _ = writeln!(output, "{request} was never sent");
                continue;
            };
            output += &self.handle(Event::AttemptEnded {
                attempt,
                end: end.clone(),
                request,
            });
        }
        output
    }

    fn advance(&mut self, ms: u64) -> String {
        let mut output = String::new();
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS).min(end);
            let actions = self.handle(Event::Ticked);
            for line in actions.lines() {
                let _ = writeln!(output, "{} {line}", self.now);
            }
        }
        output
    }

    fn handle(&mut self, event: Event) -> String {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { order, request } = action {
                self.attempts.insert(*request, order.attempt);
            }
        }
        actions.iter().map(|action| render(action) + "\n").collect()
    }

    fn status(&self) -> String {
        let controller = &self.controller;
        let version = controller
            .version()
            .map_or("none".to_string(), |v| v.to_string());
        format!(
            "phase {:?}, version {version}, queued {}, idle {}\nleaving {:?}, ejected {:?}\n",
            controller.phase(),
            controller.queued(),
            controller.is_idle(),
            names(&controller.leaving()),
            names(&controller.ejected()),
        )
    }
}

fn names(ids: &[UpstreamId]) -> Vec<&str> {
    ids.iter().map(UpstreamId::as_str).collect()
}

fn claim_answer(args: &Args<'_>) -> ClaimAnswer {
    match args.text("answer").unwrap().as_str() {
        "in-progress" => ClaimAnswer::InProgress,
        "may-have-run" => ClaimAnswer::MayHaveRun,
        "not-tried" => ClaimAnswer::NotTried,
        "ours" => ClaimAnswer::Ours,
        "ran" => ClaimAnswer::Ran(args.text("body").map(|body| StoredAnswer {
            body,
            content_type: "text/plain".to_string(),
            status: 200,
        })),
        "reused" => ClaimAnswer::Reused,
        "unknown" => ClaimAnswer::Unknown,
        other => panic!("no claim answer {other}"),
    }
}

fn failure_cause(args: &Args<'_>) -> FailureCause {
    serde_json::from_value(args.text("cause").unwrap().into()).unwrap()
}

/// The arguments of a directive.
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
        let text = self.text(name).unwrap_or_else(|| panic!("no {name}"));
        text.parse()
            .unwrap_or_else(|_| panic!("bad {name}: {text}"))
    }

    pub fn get_or<T: FromStr>(&self, name: &str, default: T) -> T {
        match self.has(name) {
            true => self.get(name),
            false => default,
        }
    }
}
