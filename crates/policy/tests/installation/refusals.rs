//! Random events around calls: the final answer to a call must be true, and a call that must not
//! run twice must not.

use {
    crate::support::{Host, TestRequest, upstreams},
    policy::{Action, Event, RefusalReason, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Listening, prelude::*},
};

const SEEDS: u64 = 24;
const STEPS: u32 = 250;

/// Request bodies. There are only two kinds, so that the host detects the one that crashes
/// upstreams.
const BODIES: [Option<&str>; 4] = [None, None, None, Some("fatal")];

#[derive(Default)]
struct Call {
    answered: bool,
    /// Whether the call crashes the upstream that runs it.
    is_fatal: bool,
    /// Whether an attempt has ended in such a way that the call may have run.
    may_have_run: bool,
    may_repeat: bool,
    running: Option<SendOrder>,
}

struct Simulation {
    calls: BTreeMap<RequestId, Call>,
    /// Upstreams that have crashed and don't listen any more.
    crashed: BTreeSet<UpstreamId>,
    host: Host,
    /// Incarnation of the replicas that are listed.
    incarnation: u32,
    reasons: BTreeSet<&'static str>,
    rng: SmallRng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            calls: BTreeMap::new(),
            crashed: BTreeSet::new(),
            host: Host::new(seed),
            incarnation: 0,
            reasons: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        simulation.change_directory();
        simulation.host.actions.clear();
        simulation
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..=7 => self.ask(),
            8..=11 => self.fail(),
            12 => self.finish(),
            13 => self.cancel(),
            14..=15 => self.notice(),
            16 => self.change_directory(),
            17 => self.host.advance(self.rng.random_range(100..2_500)),
            _ => {
                let as_of = self.host.now;
                self.host.handle(Event::ConfigurationConfirmed { as_of });
                self.host.advance(self.rng.random_range(10..150));
            }
        }
        self.check();
    }

    fn ask(&mut self) {
        let body = BODIES[self.rng.random_range(0..BODIES.len())];
        let may_repeat = self.rng.random_bool(0.3);
        let class = if may_repeat { "lookup" } else { "payment" };
        let (id, _) = self.host.ask(TestRequest {
            body: body.map(str::to_string),
            ..TestRequest::call(class)
        });
        let call = self.calls.entry(id).or_default();
        (call.is_fatal, call.may_repeat) = (body.is_some(), may_repeat);
    }

    fn pick_running(&mut self) -> Option<(RequestId, SendOrder)> {
        let running = self.calls.iter();
        let running: Vec<_> = running
            .filter_map(|(id, call)| Some((*id, call.running.clone()?)))
            .collect();
        let index = self.rng.random_range(0..running.len().max(1));
        running.get(index).cloned()
    }

    fn fail(&mut self) {
        let Some((id, order)) = self.pick_running() else {
            return;
        };
        let causes = [
            (FailureCause::Busy, Verdict::NotRun),
            (FailureCause::Connect, Verdict::NotRun),
            (FailureCause::WrongInstance, Verdict::NotRun),
            (FailureCause::ErrorStatus, Verdict::MayHaveRun),
            (FailureCause::Reset, Verdict::MayHaveRun),
            (FailureCause::TimedOut, Verdict::MayHaveRun),
        ];
        let call = self.calls.get_mut(&id).unwrap();
        let (cause, verdict) = if call.is_fatal {
            (FailureCause::Reset, Verdict::MayHaveRun)
        } else {
            causes[self.rng.random_range(0..causes.len())]
        };
        if call.is_fatal {
            self.crashed.insert(order.upstream.clone());
        }
        call.running = None;
        call.may_have_run |= verdict == Verdict::MayHaveRun;
        self.host.fail(&order, id, cause, verdict, false);
    }

    fn finish(&mut self) {
        if let Some((id, order)) = self.pick_running() {
            let call = self.calls.get_mut(&id).unwrap();
            (call.running, call.answered) = (None, true);
            self.host.finish(&order, id);
        }
    }

    /// Disconnects the caller of a random unanswered call.
    fn cancel(&mut self) {
        let waiting = self.calls.iter().filter(|(_, call)| !call.answered);
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        let index = self.rng.random_range(0..waiting.len().max(1));
        if let Some(request) = waiting.get(index).copied() {
            let call = self.calls.get_mut(&request).unwrap();
            (call.running, call.answered) = (None, true);
            self.host.handle(Event::CallerGone { request });
        }
    }

    /// Sends the same random notice from all replicas.
    fn notice(&mut self) {
        let notice = match self.rng.random_range(0..3) {
            0 => UpstreamNotice {
                backoff: AdvertisedBackoff::Valid(Duration::from_secs(
                    self.rng.random_range(1..12),
                )),
                ..UpstreamNotice::default()
            },
            1 => UpstreamNotice {
                limit: AdvertisedLimit::Valid(Rate::per_second(0.5).unwrap()),
                ..UpstreamNotice::default()
            },
            _ => UpstreamNotice::default(),
        };
        for number in 0..3 {
            let sent = self.host.now;
            let upstream = self.replica(&number.to_string());
            self.host.handle(Event::NoticeAnswered {
                notice: notice.clone(),
                sent,
                upstream,
            });
        }
    }

    fn change_directory(&mut self) {
        let leaving = self.rng.random_range(0..6);
        self.incarnation += u32::from(leaving > 3);
        let listed = upstreams().into_iter();
        let listed = listed.map(|(id, upstream)| match id.name().strip_prefix("shop-") {
            Some(number) => (self.replica(number), upstream),
            None => (id, upstream),
        });
        let listed = listed.collect();
        let leaving = (0..leaving).map(|number| self.replica(&number.to_string()));
        let leaving = leaving.filter(|_| self.incarnation % 2 == 1).collect();
        self.host.handle(Event::DirectoryRead {
            common: None,
            leaving,
            upstreams: listed,
        });
    }

    fn replica(&self, number: &str) -> UpstreamId {
        format!("shop-{number}-{}", self.incarnation)
            .parse()
            .unwrap()
    }

    fn check(&mut self) {
        while !self.host.actions.is_empty() {
            let actions = std::mem::take(&mut self.host.actions);
            actions
                .into_iter()
                .for_each(|action| self.check_action(action));
        }
    }

    fn check_action(&mut self, action: Action) {
        match action {
            // An upstream that crashed does not listen at the first check.
            Action::CheckListening { upstream, .. } => {
                let listening = match self.crashed.remove(&upstream) {
                    true => Listening::No,
                    false => Listening::Yes,
                };
                self.host.handle(Event::ListeningChecked {
                    listening,
                    upstream,
                });
            }
            Action::Send { order, request } => {
                let call = self.calls.entry(request).or_default();
                assert!(!call.answered, "{request} is sent after its final answer");
                assert!(call.running.is_none(), "{request} runs twice at once");
                assert!(
                    call.may_repeat || !call.may_have_run,
                    "{request} may run twice"
                );
                call.running = Some(order);
            }
            Action::Refuse { refusal, request } => {
                let call = self.calls.entry(request).or_default();
                assert!(!call.answered, "{request} is answered twice");
                assert!(call.running.is_none(), "{request} is refused while it runs");
                let is_true = refusal.verdict != Verdict::NotRun || !call.may_have_run;
                assert!(
                    is_true,
                    "{request} is reported as not run, but may have run"
                );
                call.answered = true;
                self.reasons.insert(refusal.reason.code());
            }
            _ => {}
        }
    }
}

/// Guards against a final answer that says that a call did not run although it ran, is running or
/// runs later.
#[test]
fn final_answers_match_whether_a_call_ran() {
    let mut reasons = BTreeSet::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.step());
        simulation.host.advance(20_000);
        simulation.check();
        reasons.extend(simulation.reasons);
    }
    for reason in [
        RefusalReason::ConfigurationStale,
        RefusalReason::CrashesUpstreams,
        RefusalReason::DeadlinePassed,
        RefusalReason::NoUpstream,
        RefusalReason::UpstreamBackoff,
        RefusalReason::UpstreamFailed,
        RefusalReason::UpstreamLimited,
    ] {
        assert!(
            reasons.contains(reason.code()),
            "no call was refused with {reason}: {reasons:?}"
        );
    }
}
