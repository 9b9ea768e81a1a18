use super::*;

/// Interval between ticks while time advances.
const TICK_MS: u64 = 10;

/// Heartbeat that was sent but not yet delivered.
pub struct PendingHeartbeat {
    pub sent_at: Time,
    pub heartbeat: Heartbeat,
    pub to: String,
}

/// Controller of one host in a script, with its own clock.
pub struct ScriptedHost {
    pub attempts: BTreeMap<RequestId, AttemptId>,
    pub controller: Controller,
    pub now: Time,
    /// Response to the heartbeat that was delivered last.
    pub answer: Option<HeartbeatAnswer>,
    pub pending: Option<PendingHeartbeat>,
}

impl ScriptedHost {
    /// Creates a host. With `has_upstream_list`, the host has already read the platform's list of
    /// upstreams, which marks none as leaving.
    pub fn new(name: &str, domain: &str, incarnation: u64, has_upstream_list: bool) -> Self {
        let mut host = Self {
            answer: None,
            attempts: BTreeMap::new(),
            controller: Controller::new(ControllerOptions {
                failure_domain: domain.parse().unwrap(),
                host: name.parse().unwrap(),
                incarnation: Incarnation::new(incarnation),
                max_queued: 4,
                relay: None,
                slot_rules: SlotRules::default(),
                seed: 1,
            }),
            now: Time::default(),
            pending: None,
        };
        if has_upstream_list {
            let leaving = Default::default();
            host.handle(Event::UpstreamsListed { leaving });
        }
        host
    }

    /// Advances the time in ticks. Each output line starts with the time of its action.
    pub fn advance(&mut self, ms: u64) -> String {
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

    pub fn handle(&mut self, event: Event) -> String {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Send { order, request } => {
                    self.attempts.insert(*request, order.attempt);
                }
                Action::AnswerHeartbeat { answer, .. } => self.answer = Some(answer.clone()),
                Action::SendHeartbeat {
                    heartbeat, host, ..
                } => {
                    self.pending = Some(PendingHeartbeat {
                        sent_at: self.now,
                        heartbeat: heartbeat.clone(),
                        to: host.to_string(),
                    });
                }
                _ => {}
            }
        }
        actions.iter().map(|action| render(action) + "\n").collect()
    }

    pub fn status(&self) -> String {
        let controller = &self.controller;
        let version = controller
            .version()
            .map_or("none".to_string(), |v| v.to_string());
        format!(
            "phase {:?}, version {version}, queued {}, idle {}\nleaving {:?}, ejected {:?}\n",
            controller.phase(),
            controller.queued(),
            controller.is_idle(),
            names(&controller.leaving(self.now)),
            names(&controller.ejected()),
        )
    }

    /// Renders the coordinator and this host's share of each engine's slots.
    pub fn shares(&self) -> String {
        let shares: Vec<String> = (0..9)
            .filter_map(|number| {
                let id = format!("engine-{number}").parse().unwrap();
                let share = self.controller.share(&id)?;
                Some(share.to_string())
            })
            .collect();
        format!(
            "coordinator {}, shares {}\n",
            self.controller.coordinator(self.now),
            shares.join(" ")
        )
    }
}

fn names(ids: &[UpstreamId]) -> Vec<&str> {
    ids.iter().map(UpstreamId::name).collect()
}
