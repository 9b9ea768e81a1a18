//! Checks of the router's guarantees over the history of a run, which joins what
//! callers received with what upstreams ran. A case counts as checked only if
//! the history can show whether the guarantee held.

use super::*;

/// Time after which an upstream that was asked to leave receives no new work.
const LEAVING_GRACE_MS: u64 = 3_000;

/// Number of the most urgent tiers, whose requests are never shed in favor of
/// less urgent ones.
const URGENT_TIERS: usize = 2;

/// Less urgent requests that each host may start in 2 seconds because of the
/// minimum service that protects less urgent tiers from starvation.
const STARVATION_FLOOR_STARTS_PER_2_S: f64 = 11.0;

/// Checks every guarantee that a history can confirm or refute.
pub fn check_guarantees(scenario: &Scenario, experiment: &Experiment) -> Vec<GuaranteeCheck> {
    let history = History::new(experiment);
    vec![
        history.urgent_not_shed_for_less_urgent(scenario),
        history.every_class_served(),
        history.complete_answers(),
        history.not_run_verdict_is_true(),
        history.at_most_once(),
        history.leaving_gets_no_new_work(),
        history.planned_stop_cuts_nothing(scenario),
        history.versions_never_decrease(),
    ]
}

struct History<'a> {
    experiment: &'a Experiment,
    runs: HashMap<&'a str, Vec<&'a Run>>,
    tiers: HashMap<&'a str, Tier>,
}

impl<'a> History<'a> {
    fn new(experiment: &'a Experiment) -> Self {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::default();
        for run in &experiment.runs {
            runs.entry(&run.tag).or_default().push(run);
        }
        let tiers = experiment
            .records
            .iter()
            .map(|record| (record.tag.as_str(), record.tier))
            .collect();
        Self {
            experiment,
            runs,
            tiers,
        }
    }

    fn run_count(&self, tag: &str) -> usize {
        self.runs.get(tag).map_or(0, Vec::len)
    }

    fn check_records<'b>(
        name: &str,
        records: impl Iterator<Item = &'b Record>,
        violates: impl Fn(&Record) -> bool,
    ) -> GuaranteeCheck {
        let mut check = GuaranteeCheck {
            broken: 0,
            checked: 0,
            name: name.to_string(),
        };
        for record in records {
            check.checked += 1;
            check.broken += u64::from(violates(record));
        }
        check
    }

    /// Finds urgent requests that were shed while more less urgent requests
    /// started than the minimum service against starvation allows.
    fn urgent_not_shed_for_less_urgent(&self, scenario: &Scenario) -> GuaranteeCheck {
        let hosts = scenario.fleet.hosts as f64;
        let urgent = self
            .experiment
            .records
            .iter()
            .filter(|record| record.tier.index() < URGENT_TIERS);
        Self::check_records("urgent-never-shed-for-less", urgent, |record| {
            let shed = matches!(
                record.code.as_deref(),
                Some("queue_full" | "deadline_passed" | "deadline_unreachable" | "host_busy")
            );
            if !shed {
                return false;
            }
            let waited_s = (record.ended_ms - record.intended_ms) / 1e3;
            let allowed = hosts * STARVATION_FLOOR_STARTS_PER_2_S * (1.0 + waited_s / 2.0);
            let started = self.experiment.runs.iter().filter(|run| {
                let at_ms = run.started_ms as f64;
                let is_less_urgent = self
                    .tiers
                    .get(run.tag.as_str())
                    .is_some_and(|tier| record.tier.is_more_urgent_than(*tier));
                is_less_urgent && at_ms >= record.intended_ms && at_ms <= record.ended_ms
            });
            started.count() as f64 > allowed
        })
    }

    /// Finds classes that sent requests of which none finished.
    fn every_class_served(&self) -> GuaranteeCheck {
        let mut served: BTreeMap<&ClassId, bool> = BTreeMap::new();
        for record in &self.experiment.records {
            let complete = matches!(record.ending, Ending::Finished | Ending::Replayed);
            *served.entry(&record.class).or_default() |= complete;
        }
        GuaranteeCheck {
            broken: served.values().filter(|served| !**served).count() as u64,
            checked: served.len() as u64,
            name: "every-class-served".to_string(),
        }
    }

    /// Finds responses that ended without an error but are incomplete or belong
    /// to another request.
    fn complete_answers(&self) -> GuaranteeCheck {
        let ended = self
            .experiment
            .records
            .iter()
            .filter(|record| matches!(record.ending, Ending::Finished | Ending::Replayed));
        Self::check_records("complete-own-answer", ended, |record| !record.is_complete())
    }

    /// Finds requests with the verdict `not-run` that did run. Only tags with a
    /// single request are checked, because a run of a shared tag may belong to
    /// another request.
    fn not_run_verdict_is_true(&self) -> GuaranteeCheck {
        let mut requests: HashMap<&str, u32> = HashMap::default();
        for record in &self.experiment.records {
            *requests.entry(&record.tag).or_default() += 1;
        }
        let answered = self.experiment.records.iter().filter(|record| {
            record.verdict == Some(Verdict::NotRun) && requests[record.tag.as_str()] == 1
        });
        Self::check_records("not-run-is-true", answered, |record| {
            self.run_count(&record.tag) > 0
        })
    }

    /// Finds requests that ran more than once although they may run at most once.
    fn at_most_once(&self) -> GuaranteeCheck {
        let at_most_once_records = self.experiment.records.iter().filter(|record| record.once);
        Self::check_records("at-most-once", at_most_once_records, |record| {
            self.run_count(&record.tag) > 1
        })
    }

    /// Finds upstreams that received new work more than [`LEAVING_GRACE_MS`] after
    /// they were asked to leave.
    fn leaving_gets_no_new_work(&self) -> GuaranteeCheck {
        let mut check = GuaranteeCheck {
            broken: 0,
            checked: 0,
            name: "leaving-gets-no-new-work".to_string(),
        };
        for (upstream, span) in &self.experiment.leaving {
            check.checked += 1;
            let late = self.experiment.runs.iter().any(|run| {
                run.upstream == upstream.name()
                    && span.is_leaving_at(run.received_ms, LEAVING_GRACE_MS)
            });
            check.broken += u64::from(late);
        }
        check
    }

    /// Finds requests that were interrupted or lost in a run whose only faults are
    /// planned stops of hosts.
    fn planned_stop_cuts_nothing(&self, scenario: &Scenario) -> GuaranteeCheck {
        let is_stop = |fault: &Fault| matches!(fault.kind, FaultKind::HostReplaced { .. });
        let stops_only = scenario.faults.iter().all(is_stop);
        let any = scenario.faults.iter().any(is_stop);
        let records = self.experiment.records.iter().filter(|_| stops_only && any);
        Self::check_records("planned-stop-cuts-nothing", records, |record| {
            matches!(record.ending, Ending::Broken | Ending::Lost)
        })
    }

    /// Finds hosts that reported an older configuration version after a newer one.
    fn versions_never_decrease(&self) -> GuaranteeCheck {
        let mut check = GuaranteeCheck {
            broken: 0,
            checked: 0,
            name: "versions-never-fall".to_string(),
        };
        for versions in &self.experiment.versions {
            for pair in versions.windows(2) {
                check.checked += 1;
                check.broken += u64::from(pair[1] < pair[0]);
            }
        }
        check
    }
}
