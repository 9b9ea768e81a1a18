use super::*;

/// State of a request in the model.
#[derive(Clone, Debug)]
struct RequestState {
    is_answered: bool,
    attempt: Option<(AttemptId, UpstreamId)>,
    is_claim_pending: bool,
    has_claim: bool,
    has_key: bool,
    may_have_run: bool,
    at_most_once: bool,
    is_settled: bool,
    tier: u8,
}

/// Model of the callers and upstreams that checks the actions of a controller.
pub struct Model {
    controller: Controller,
    leaving: Vec<UpstreamId>,
    now: Time,
    requests: BTreeMap<RequestId, RequestState>,
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
        let versioned = VersionedDocument {
            document: Document::from_value(document()).unwrap(),
            version: ConfigVersion::new(1),
        };
        model.handle(Event::ConfigurationRead(Arc::new(versioned)));
        model
    }

    pub fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => {
                self.now = self.now.plus_ms(u64::from(ms) * 20);
                self.handle(Event::Ticked);
            }
            Step::Arrive { class, has_key } => self.arrive(class, has_key),
            Step::CallerGone(pick) => {
                let is_open = |request_state: &RequestState| !request_state.is_answered;
                if let Some(request) = self.pick(pick, is_open) {
                    self.request_state(request).is_answered = true;
                    self.request_state(request).attempt = None;
                    self.handle(Event::CallerGone { request });
                }
            }
            Step::Claim { answer, pick } => self.answer_claim(answer, pick),
            Step::Complete(pick) => {
                if let Some((request, attempt)) = self.pick_running(pick) {
                    self.request_state(request).is_answered = true;
                    let end = AttemptEnd::Completed {
                        response: None,
                        longest_pause: Duration::ZERO,
                        tokens: Tokens::new(5),
                    };
                    self.end_attempt(request, attempt, end);
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

    fn arrive(&mut self, class: u8, has_key: bool) {
        let id = RequestId::new(self.requests.len() as u64);
        let class = CLASSES[usize::from(class) % CLASSES.len()];
        let at_most_once = class == "order";
        let has_key = at_most_once && has_key;
        self.requests.insert(
            id,
            RequestState {
                is_answered: false,
                attempt: None,
                is_claim_pending: false,
                has_claim: false,
                has_key,
                may_have_run: false,
                at_most_once,
                is_settled: false,
                tier: if class == "summary" { 4 } else { 0 },
            },
        );
        let repeatability = match has_key {
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
        let Some(request) = self.pick(pick, |request_state| request_state.is_claim_pending) else {
            return;
        };
        let answer = match answer % 6 {
            0 => ClaimResult::InProgress,
            1 => ClaimResult::NotWritten,
            2 => ClaimResult::Unknown,
            _ => ClaimResult::Granted,
        };
        let request_state = self.request_state(request);
        request_state.is_claim_pending = false;
        request_state.has_claim = answer == ClaimResult::Granted;
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
        self.request_state(request).may_have_run |= verdict != Verdict::NotRun;
        let end = AttemptEnd::Failed {
            cause: causes[usize::from(cause) % causes.len()],
            delivered,
            tokens: Tokens::default(),
            verdict,
        };
        self.end_attempt(request, attempt, end);
    }

    fn end_attempt(&mut self, request: RequestId, attempt: AttemptId, end: AttemptEnd) {
        self.request_state(request).attempt = None;
        self.handle(Event::AttemptEnded {
            attempt,
            end,
            request,
        });
    }

    fn handle(&mut self, event: Event) {
        let arriving = match &event {
            Event::Arrived(arrival) => Some(arrival.request),
            _ => None,
        };
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action, arriving);
        }
        for number in 0..ENGINES {
            let in_flight = self.controller.in_flight(&engine(number as u8)).unwrap();
            assert!(in_flight <= SLOTS, "engine-{number} has {in_flight}");
        }
    }

    fn check(&mut self, action: Action, arriving: Option<RequestId>) {
        match action {
            Action::Send { order, request } => {
                // A resumed stream is not new work, so a leaving engine may receive it.
                let is_new_work = order.resume_from.is_none();
                assert!(
                    !is_new_work || !self.leaving.contains(&order.upstream),
                    "new work sent to a leaving engine"
                );
                let request_state = self.request_state(request);
                assert!(!request_state.is_answered, "sent after the final response");
                assert!(
                    request_state.attempt.is_none(),
                    "sent while another attempt runs"
                );
                assert!(
                    !request_state.has_key || request_state.has_claim,
                    "sent without a claim"
                );
                assert!(
                    !request_state.is_settled,
                    "sent after the claim was settled"
                );
                let may_run_twice = request_state.at_most_once
                    && request_state.may_have_run
                    && order.resume_from.is_none();
                assert!(!may_run_twice, "an at-most-once request may run twice");
                request_state.attempt = Some((order.attempt, order.upstream));
            }
            Action::Claim(claim) => {
                let request_state = self.request_state(claim.request);
                assert!(request_state.has_key && !request_state.has_claim);
                request_state.is_claim_pending = true;
            }
            Action::Refuse { refusal, request } => {
                let tier = self.request_state(request).tier;
                if let Some(arriving) = arriving.filter(|arriving| *arriving != request) {
                    let arriving = self.request_state(arriving).tier;
                    assert!(
                        arriving < tier,
                        "tier {tier} refused in favour of tier {arriving}"
                    );
                }
                let request_state = self.request_state(request);
                assert!(!request_state.is_answered, "answered twice");
                if request_state.may_have_run {
                    assert_ne!(
                        refusal.verdict,
                        Verdict::NotRun,
                        "refused as not run after it may have run"
                    );
                }
                request_state.is_answered = true;
            }
            Action::FailStream { refusal, request } => {
                assert_ne!(refusal.verdict, Verdict::NotRun);
                assert!(!self.request_state(request).is_answered, "answered twice");
                self.request_state(request).is_answered = true;
            }
            Action::Settle(settlement) => {
                let id = settlement.key.to_string().trim_start_matches('k').parse();
                let request_state = self.request_state(RequestId::new(id.unwrap()));
                assert!(
                    request_state.has_claim && !request_state.is_settled,
                    "settled without an open claim"
                );
                if request_state.may_have_run {
                    assert_ne!(
                        settlement.verdict,
                        Verdict::NotRun,
                        "key released although the request may have run"
                    );
                }
                request_state.is_settled = true;
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
            | Action::ConfirmUpstreams
            | Action::NoteTakenUp(_)
            | Action::SendStreamNote { .. }
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

    fn request_state(&mut self, request: RequestId) -> &mut RequestState {
        self.requests.get_mut(&request).unwrap()
    }

    fn pick(&self, pick: u8, is_candidate: impl Fn(&RequestState) -> bool) -> Option<RequestId> {
        let candidates: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request_state)| is_candidate(request_state))
            .map(|(id, _)| *id)
            .collect();
        let index = usize::from(pick).checked_rem(candidates.len())?;
        Some(candidates[index])
    }

    fn pick_running(&self, pick: u8) -> Option<(RequestId, AttemptId)> {
        let request = self.pick(pick, |request_state| request_state.attempt.is_some())?;
        let (attempt, _) = self.requests[&request].attempt.as_ref()?;
        Some((request, *attempt))
    }

    /// Completes all requests, and checks that no request, claim or slot is left over.
    pub fn settle(mut self) {
        self.leaving.clear();
        for _ in 0..400 {
            self.apply_step(&Step::Advance(255));
            for upstream in 0..ENGINES as u8 {
                self.apply_step(&Step::Probe {
                    healthy: true,
                    upstream,
                });
            }
            self.handle(Event::UpstreamsListed {
                leaving: Default::default(),
            });
            self.apply_step(&Step::Claim { answer: 5, pick: 0 });
            self.apply_step(&Step::Complete(0));
        }
        assert!(
            self.controller.is_idle(),
            "requests remain after all were completed"
        );
        assert!(
            self.requests
                .values()
                .all(|request_state| request_state.is_answered)
        );
        let unsettled = self
            .requests
            .values()
            .find(|request_state| request_state.has_claim && !request_state.is_settled);
        assert!(
            unsettled.is_none(),
            "a claim was never settled: {unsettled:?}"
        );
        for number in 0..ENGINES {
            assert_eq!(self.controller.in_flight(&engine(number as u8)), Some(0));
        }
    }
}
