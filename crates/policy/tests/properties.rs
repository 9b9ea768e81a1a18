//! Properties of the controller under random events: a model of callers and
//! upstreams drives it and checks what it orders.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, Numbered},
    policy::{
        Action, Arrival, AttemptEnd, ClaimAnswer, Controller, ControllerOptions, Event,
        Repeatability, RoomRules, Target,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    serde_json::{Value, json},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::prelude::*,
};

const ENGINES: u32 = 3;
const SLOTS: u32 = 2;
const CLASSES: [&str; 3] = ["alert", "order", "summary"];

/// Fixed, so that the verdict is the same on each run.
const SEED: u64 = 20_261_202;

/// One random step.
#[derive(Clone, Debug)]
enum Step {
    Advance(u8),
    Arrive {
        class: u8,
        keyed: bool,
    },
    CallerGone(u8),
    Claim {
        answer: u8,
        pick: u8,
    },
    Complete(u8),
    Fail {
        cause: u8,
        delivered: bool,
        pick: u8,
        ran: bool,
    },
    Leave {
        leaving: bool,
        upstream: u8,
    },
    Probe {
        healthy: bool,
        upstream: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 => Self::Advance(pick),
            1..=4 => Self::Arrive {
                class: pick,
                keyed: bool::arbitrary(g),
            },
            5 => Self::CallerGone(pick),
            6 => Self::Claim {
                answer: u8::arbitrary(g),
                pick,
            },
            7 | 8 => Self::Complete(pick),
            9 => Self::Fail {
                cause: u8::arbitrary(g),
                delivered: bool::arbitrary(g),
                pick,
                ran: bool::arbitrary(g),
            },
            10 => Self::Leave {
                leaving: bool::arbitrary(g),
                upstream: pick,
            },
            _ => Self::Probe {
                healthy: bool::arbitrary(g),
                upstream: pick,
            },
        }
    }
}

/// What the model knows of a request.
#[derive(Clone, Debug)]
struct Known {
    answered: bool,
    attempt: Option<(AttemptId, UpstreamId)>,
    claiming: bool,
    claimed: bool,
    keyed: bool,
    may_have_run: bool,
    once: bool,
    settled: bool,
    tier: u8,
}

struct Model {
    controller: Controller,
    leaving: Vec<UpstreamId>,
    now: Time,
    requests: BTreeMap<RequestId, Known>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            controller: Controller::new(ControllerOptions {
                failure_domain: "a".parse().unwrap(),
                host: "host-0".parse().unwrap(),
                incarnation: Incarnation::new(7),
                max_queued: 6,
                relay: None,
                room: RoomRules::default(),
                seed: 7,
            }),
            leaving: Vec::new(),
            now: Time::default(),
            requests: BTreeMap::new(),
        };
        let numbered = Numbered {
            document: Document::from_value(document()).unwrap(),
            version: ConfigVersion::new(1),
        };
        model.handle(Event::ConfigurationRead(Arc::new(numbered)));
        model
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => {
                self.now = self.now.plus_ms(u64::from(ms) * 20);
                self.handle(Event::Ticked);
            }
            Step::Arrive { class, keyed } => self.arrive(class, keyed),
            Step::CallerGone(pick) => {
                let open = |known: &Known| !known.answered;
                if let Some(request) = self.pick(pick, open) {
                    self.known(request).answered = true;
                    self.known(request).attempt = None;
                    self.handle(Event::CallerGone { request });
                }
            }
            Step::Claim { answer, pick } => self.answer_claim(answer, pick),
            Step::Complete(pick) => {
                if let Some((request, attempt)) = self.pick_running(pick) {
                    self.known(request).answered = true;
                    let end = AttemptEnd::Completed {
                        answer: None,
                        longest_pause: Duration::ZERO,
                        tokens: Tokens::new(5),
                    };
                    self.end(request, attempt, end);
                }
            }
            Step::Fail {
                cause,
                delivered,
                pick,
                ran,
            } => self.fail(cause, delivered, pick, ran),
            Step::Leave { leaving, upstream } => {
                let id = engine(upstream);
                self.leaving.retain(|other| *other != id);
                if leaving {
                    self.leaving.push(id);
                }
                let leaving = self.leaving.iter().cloned().collect();
                self.handle(Event::UpstreamsListed { leaving });
            }
            Step::Probe { healthy, upstream } => {
                let upstream = engine(upstream);
                self.handle(Event::ProbeAnswered { healthy, upstream });
            }
        }
    }

    fn arrive(&mut self, class: u8, keyed: bool) {
        let id = RequestId::new(self.requests.len() as u64);
        let class = CLASSES[usize::from(class) % CLASSES.len()];
        let once = class == "order";
        let keyed = once && keyed;
        self.requests.insert(
            id,
            Known {
                answered: false,
                attempt: None,
                claiming: false,
                claimed: false,
                keyed,
                may_have_run: false,
                once,
                settled: false,
                tier: if class == "summary" { 4 } else { 0 },
            },
        );
        let repeatability = match keyed {
            true => Repeatability::AtMostOncePerKey {
                fingerprint: Fingerprint::of_request("POST", "/", b""),
                key: format!("k{id}").parse().unwrap(),
            },
            false => Repeatability::AsConfigured,
        };
        self.handle(Event::Arrived(Arrival {
            class: Some(class.parse().unwrap()),
            key_hash: Some(KeyHash::of_key("shop")),
            max_output: None,
            prefix: None,
            prompt: Tokens::default(),
            repeatability,
            request: id,
            routed: None,
            target: Target::Model("small".parse().unwrap()),
        }));
    }

    fn answer_claim(&mut self, answer: u8, pick: u8) {
        let Some(request) = self.pick(pick, |known| known.claiming) else {
            return;
        };
        let answer = match answer % 6 {
            0 => ClaimAnswer::InProgress,
            1 => ClaimAnswer::NotTried,
            2 => ClaimAnswer::Unknown,
            _ => ClaimAnswer::Ours,
        };
        let known = self.known(request);
        known.claiming = false;
        known.claimed = answer == ClaimAnswer::Ours;
        self.handle(Event::ClaimAnswered { answer, request });
    }

    fn fail(&mut self, cause: u8, delivered: bool, pick: u8, ran: bool) {
        let Some((request, attempt)) = self.pick_running(pick) else {
            return;
        };
        let causes = [
            FailureCause::Busy,
            FailureCause::Connect,
            FailureCause::ErrorStatus,
            FailureCause::Reset,
        ];
        let verdict = match ran || delivered {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        self.known(request).may_have_run |= verdict != Verdict::NotRun;
        let end = AttemptEnd::Failed {
            cause: causes[usize::from(cause) % causes.len()],
            delivered,
            tokens: Tokens::default(),
            verdict,
        };
        self.end(request, attempt, end);
    }

    fn end(&mut self, request: RequestId, attempt: AttemptId, end: AttemptEnd) {
        self.known(request).attempt = None;
        self.handle(Event::AttemptEnded {
            attempt,
            end,
            request,
        });
    }

    fn handle(&mut self, event: Event) {
        let newcomer = match &event {
            Event::Arrived(arrival) => Some(arrival.request),
            _ => None,
        };
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action, newcomer);
        }
        for number in 0..ENGINES {
            let in_flight = self.controller.in_flight(&engine(number as u8)).unwrap();
            assert!(in_flight <= SLOTS, "engine-{number} has {in_flight}");
        }
    }

    fn check(&mut self, action: Action, newcomer: Option<RequestId>) {
        match action {
            Action::Send { order, request } => {
                // A resumed stream is not new work: it has never left.
                let new_work = order.resume.is_none();
                assert!(
                    !new_work || !self.leaving.contains(&order.upstream),
                    "sent to a leaving one"
                );
                let known = self.known(request);
                assert!(!known.answered, "sent after its final answer");
                assert!(known.attempt.is_none(), "sent twice at once");
                assert!(!known.keyed || known.claimed, "sent without its claim");
                assert!(!known.settled, "sent after its settlement");
                let again = known.once && known.may_have_run && order.resume.is_none();
                assert!(!again, "may run twice");
                known.attempt = Some((order.attempt, order.upstream));
            }
            Action::Claim(claim) => {
                let known = self.known(claim.request);
                assert!(known.keyed && !known.claimed);
                known.claiming = true;
            }
            Action::Refuse { refusal, request } => {
                let tier = self.known(request).tier;
                if let Some(newcomer) = newcomer.filter(|newcomer| *newcomer != request) {
                    let newcomer = self.known(newcomer).tier;
                    assert!(newcomer < tier, "tier {tier} given up for tier {newcomer}");
                }
                let known = self.known(request);
                assert!(!known.answered, "answered twice");
                if known.may_have_run {
                    assert_ne!(refusal.verdict, Verdict::NotRun, "a false verdict");
                }
                known.answered = true;
            }
            Action::Break { refusal, request } => {
                assert_ne!(refusal.verdict, Verdict::NotRun);
                assert!(!self.known(request).answered, "answered twice");
                self.known(request).answered = true;
            }
            Action::Settle(settlement) => {
                let id = settlement.key.to_string().trim_start_matches('k').parse();
                let known = self.known(RequestId::new(id.unwrap()));
                assert!(known.claimed && !known.settled, "settled without a claim");
                if known.may_have_run {
                    assert_ne!(settlement.verdict, Verdict::NotRun, "a key set free");
                }
                known.settled = true;
            }
            Action::Cancel { .. }
            | Action::AnswerHeartbeat { .. }
            | Action::FetchConfiguration { .. }
            | Action::Probe { .. }
            | Action::ReadConfiguration
            | Action::SendHeartbeat { .. }
            | Action::SendNotes { .. }
            | Action::Record(_)
            | Action::Replay { .. } => {}
        }
    }

    fn known(&mut self, request: RequestId) -> &mut Known {
        self.requests.get_mut(&request).unwrap()
    }

    fn pick(&self, pick: u8, fits: impl Fn(&Known) -> bool) -> Option<RequestId> {
        let fitting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, known)| fits(known))
            .map(|(id, _)| *id)
            .collect();
        let place = usize::from(pick).checked_rem(fitting.len())?;
        Some(fitting[place])
    }

    fn pick_running(&self, pick: u8) -> Option<(RequestId, AttemptId)> {
        let request = self.pick(pick, |known| known.attempt.is_some())?;
        let (attempt, _) = self.requests[&request].attempt.as_ref()?;
        Some((request, *attempt))
    }

    /// Lets everything end, and checks that nothing is left over.
    fn settle(mut self) {
        self.leaving.clear();
        for _ in 0..400 {
            self.step(&Step::Advance(255));
            for upstream in 0..ENGINES as u8 {
                self.step(&Step::Probe {
                    healthy: true,
                    upstream,
                });
            }
            self.handle(Event::UpstreamsListed {
                leaving: Default::default(),
            });
            self.step(&Step::Claim { answer: 5, pick: 0 });
            self.step(&Step::Complete(0));
        }
        assert!(self.controller.is_idle(), "requests are left over");
        assert!(self.requests.values().all(|known| known.answered));
        let unsettled = self
            .requests
            .values()
            .find(|known| known.claimed && !known.settled);
        assert!(
            unsettled.is_none(),
            "a claim was never settled: {unsettled:?}"
        );
        for number in 0..ENGINES {
            assert_eq!(self.controller.in_flight(&engine(number as u8)), Some(0));
        }
    }
}

fn engine(number: u8) -> UpstreamId {
    format!("engine-{}", u32::from(number) % ENGINES)
        .parse()
        .unwrap()
}

fn document() -> Value {
    let class = |tier: u8, idempotent: bool| {
        json!({
            "between_token_target_ms": 27, "deadline_ms": 60_000,
            "first_token_target_ms": 500, "idempotent": idempotent, "tier": tier,
        })
    };
    let mut document = json!({
        "classes": {
            "alert": class(0, true), "order": class(0, false), "summary": class(4, true),
        },
        "format": 1,
        "teams": {"shop": {
            "classes": CLASSES, "default_class": "summary",
            "key_sha256": KeyHash::of_key("shop"), "max_concurrent": 1_000,
            "max_requests_per_s": 100_000.0, "plan": "paid",
        }},
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
        "upstreams": {},
    });
    for number in 0..ENGINES {
        document["upstreams"][format!("engine-{number}")] = json!({
            "kind": "engine", "address": format!("127.0.0.1:{}", 8000 + number),
            "failure_domain": "a", "models": ["small"], "queue_bound": 2,
            "resumes": true, "slots": SLOTS,
        });
    }
    document
}

/// No request is sent twice at once, after its final answer, without its claim,
/// to a leaving engine, or again when it may have run and must not; none is
/// given up for a less urgent one; every one is answered once, truthfully; every
/// claim is settled; no slot is lost.
#[test]
fn promises_hold_under_random_events() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        model.settle();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
