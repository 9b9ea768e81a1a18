use super::*;

/// Time beyond two report intervals after which a host without a report counts as not observed.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(1_000);

/// Smallest share of the hosts that must be observed. With fewer hosts, the reported demand would
/// be lower than the actual demand.
const MIN_REPORTING_SHARE: f64 = 0.75;

/// Time after which a silent host is removed.
const HOST_RETENTION: Duration = Duration::from_secs(60);

/// Number of engines that one host can keep busy. Work beyond this number is not plausible and is
/// not counted.
const MAX_BUSY_PER_HOST: f64 = 1_000.0;

/// Number of incarnations stored per host, for messages that arrive out of order.
const MAX_INCARNATIONS: usize = 4;

/// Sums the work of all hosts on the host that holds the duties.
#[derive(Debug, Default)]
pub struct DemandLedger {
    hosts: BTreeMap<HostId, HostWork>,
    totals_ms: BTreeMap<ModelId, f64>,
}

#[derive(Debug, Default)]
struct HostWork {
    /// Totals of the last incarnations, the latest one last.
    incarnations: VecDeque<(Incarnation, BTreeMap<ModelId, u64>)>,
    last_received: Time,
    latest_work: Vec<ModelWork>,
}

impl HostWork {
    /// Returns the totals of an incarnation, and whether this incarnation is the latest.
    fn totals_of(&mut self, incarnation: Incarnation) -> (&mut BTreeMap<ModelId, u64>, bool) {
        let position = self
            .incarnations
            .iter()
            .position(|(of, _)| *of == incarnation);
        let index = position.unwrap_or_else(|| {
            if self.incarnations.len() == MAX_INCARNATIONS {
                self.incarnations.pop_front();
            }
            self.incarnations.push_back((incarnation, BTreeMap::new()));
            self.incarnations.len() - 1
        });
        let is_latest = index + 1 == self.incarnations.len();
        (&mut self.incarnations[index].1, is_latest)
    }
}

impl DemandLedger {
    /// Records the totals of a host. Totals only grow, so a message that arrives out of order
    /// changes nothing.
    ///
    /// Work that a host did before its first message to this host is not counted, because its age
    /// is unknown.
    pub fn record(&mut self, now: Time, note: &UsageNote) {
        let is_new = !self.hosts.contains_key(&note.host);
        let host = self.hosts.entry(note.host.clone()).or_default();
        let max_added_ms = MAX_BUSY_PER_HOST * millis(now.since(host.last_received));
        let (totals, is_latest) = host.totals_of(note.incarnation);
        for work in &note.work {
            let total = totals.entry(work.model.clone()).or_default();
            let added_ms = work.total_ms.saturating_sub(*total) as f64;
            *total = work.total_ms.max(*total);
            if !is_new && added_ms <= max_added_ms {
                *self.totals_ms.entry(work.model.clone()).or_default() += added_ms;
            }
        }
        if is_latest {
            host.latest_work.clone_from(&note.work);
        }
        host.last_received = now;
    }

    /// Current demand by model; `None` if too few hosts are observed.
    pub fn observed_demand(
        &mut self,
        now: Time,
        host_count: usize,
    ) -> Option<BTreeMap<ModelId, ObservedDemand>> {
        self.hosts
            .retain(|_, host| now.since(host.last_received) < HOST_RETENTION);
        let max_age = reporting::report_interval(host_count) * 2 + FRESHNESS_MARGIN;
        let fresh = self.hosts.values();
        let fresh = fresh.filter(|host| now.since(host.last_received) <= max_age);
        let fresh: Vec<&HostWork> = fresh.collect();
        if host_count == 0 || (fresh.len() as f64) < MIN_REPORTING_SHARE * host_count as f64 {
            return None;
        }
        let totals_ms = self.totals_ms.iter();
        let mut demands: BTreeMap<ModelId, ObservedDemand> = totals_ms
            .map(|(model, total_ms)| {
                let total_ms = *total_ms;
                (
                    model.clone(),
                    ObservedDemand {
                        total_ms,
                        ..ObservedDemand::default()
                    },
                )
            })
            .collect();
        for work in fresh.iter().flat_map(|host| &host.latest_work) {
            if let Some(demand) = demands.get_mut(&work.model) {
                demand.in_flight = demand.in_flight.saturating_add(work.in_flight);
                demand.waiting_ms += f64::from(work.waiting_ms);
            }
        }
        Some(demands)
    }
}

pub(super) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
