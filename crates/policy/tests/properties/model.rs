use super::*;

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

/// Callers and upstreams, and what was ordered for them.
pub struct Model {
    controller: Controller,
    leaving: Vec<UpstreamId>,
    now: Time,
    requests: BTreeMap<RequestId, Known>,
}

impl Model {
    pub fn new() -> Self {
        let mut model = Self {
            controller: Controller::new(ControllerOptions {
                failure_domain: "a".parse().unwrap(),
                host: "host-0".parse().unwrap(),
                incarnation: Incarnation::new(7),
                max_queued: 6,
                relay: None,
                slot_rules: SlotRules::default(),
                seed: 7,
            }),
            leaving: Vec::new(),
            now: Time::default(),
            requests: BTreeMap::new(),
        };
        let numbered = VersionedDocument {
            document: Document::from_value(document()).unwrap(),
            version: ConfigVersion::new(1),
        };
        model.handle(Event::ConfigurationRead(Arc::new(numbered)));
        model
    }

    pub fn step(&mut self, step: &Step) {
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
                        response: None,
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
                key: format!("k{id}").parse().unwrap(),
            },
            false => Repeatability::AsConfigured,
        };
        self.handle(Event::Arrived(Arrival {
            class: Some(class.parse().unwrap()),
            fingerprint: Fingerprint::of_request("POST", "/", id.to_string().as_bytes()),
            key_hash: Some(KeyHash::of_key("shop")),
            max_output: None,
            prefix: None,
            prompt_tokens: Tokens::default(),
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
            0 => ClaimResult::InProgress,
            1 => ClaimResult::NotWritten,
            2 => ClaimResult::Unknown,
            _ => ClaimResult::Granted,
        };
        let known = self.known(request);
        known.claiming = false;
        known.claimed = answer == ClaimResult::Granted;
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
                let new_work = order.resume_from.is_none();
                assert!(
                    !new_work || !self.leaving.contains(&order.upstream),
                    "sent to a leaving one"
                );
                let known = self.known(request);
                assert!(!known.answered, "sent after its final answer");
                assert!(known.attempt.is_none(), "sent twice at once");
                assert!(!known.keyed || known.claimed, "sent without its claim");
                assert!(!known.settled, "sent after its settlement");
                let again = known.once && known.may_have_run && order.resume_from.is_none();
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
            Action::FailStream { refusal, request } => {
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
            Action::Abandon { .. }
            | Action::Cancel { .. }
            | Action::AnswerHeartbeat { .. }
            | Action::AnswerTransit { .. }
            | Action::CheckPath { .. }
            | Action::NotePathChange(_)
            | Action::CheckListening { .. }
            | Action::StoreCrashes(_)
            | Action::NoteAdmission(_)
            | Action::NoteBrittleness(_)
            | Action::NoteCrash(_)
            | Action::NoteLeaving(_)
            | Action::NoteLimit(_)
            | Action::NoteSpeed(_)
            | Action::RequestTokens { .. }
            | Action::GrantTokens { .. }
            | Action::SendUpstreamNote { .. }
            | Action::SendCrashNote { .. }
            | Action::FetchConfiguration { .. }
            | Action::Probe { .. }
            | Action::ReadConfiguration
            | Action::SendHeartbeat { .. }
            | Action::SendLoadNotes { .. }
            | Action::SendDutyNote { .. }
            | Action::SendUsageNote { .. }
            | Action::SendVersionNote { .. }
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
    pub fn settle(mut self) {
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
