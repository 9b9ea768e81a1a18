use super::*;

/// JSON pointer to the value that the patches of racing operators replace.
const RACE_PATCH_PATH: &str = "/trial/max_slot_share";

/// Delay between a response and the resending of its request with the same
/// idempotency key.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Template of the progress bar.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} requests, {elapsed}";

/// The observations from one run of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Experiment {
    /// What callers received, one record per request sent.
    pub records: Vec<Record>,
    /// Runs of requests on the upstreams.
    pub runs: Vec<Run>,
    /// For each host, the configuration versions in force at the observed moments,
    /// in order of time.
    pub versions: Vec<Vec<ConfigVersion>>,
    /// When each upstream was asked to leave and to stay.
    pub leaving: BTreeMap<UpstreamId, LeavingSpan>,
}

/// Starts a fleet and runs a scenario on it, with all arrival rates multiplied by
/// `load`.
pub async fn run_experiment(
    scenario: &Scenario,
    load: f64,
    show_progress: bool,
) -> eyre::Result<Experiment> {
    let scenario = Arc::new(scenario.clone());
    let fleet = Fleet::start(&scenario).await?;
    let planned = plan_requests(&scenario, load)?;
    let bar = if show_progress {
        ProgressBar::new(planned.len() as u64)
            .with_style(ProgressStyle::with_template(PROGRESS_TEMPLATE)?)
    } else {
        ProgressBar::hidden()
    };
    let (addresses, ready_addresses) = watch::channel(fleet.caller_addresses());
    let start = Instant::now();
    let caller = Caller {
        client: HttpClient::default(),
        scenario: Arc::clone(&scenario),
        start,
    };
    let mut observed = ObservedFleet {
        fleet,
        leaving: BTreeMap::new(),
        versions: vec![Vec::new(); scenario.fleet.hosts],
    };
    let sending = send_all(caller, planned, ready_addresses, bar.clone());
    let mut sending = tokio::spawn(sending);
    let faults = observed.run_faults(&scenario, start, &addresses);
    let records = tokio::select! {
        records = &mut sending => records?,
        result = faults => {
            result?;
            sending.await?
        }
    };
    bar.finish_and_clear();
    observed.record_versions();
    let runs = observed.fleet.log.runs();
    observed.fleet.stop().await?;
    Ok(Experiment {
        records,
        runs,
        versions: observed.versions,
        leaving: observed.leaving,
    })
}

async fn send_all(
    caller: Caller,
    planned: Vec<PlannedRequest>,
    ready_addresses: watch::Receiver<Vec<SocketAddr>>,
    bar: ProgressBar,
) -> Vec<Record> {
    let mut calls = JoinSet::new();
    for (number, request) in planned.into_iter().enumerate() {
        sleep_until(caller.start + request.at).await;
        let caller = caller.clone();
        let ready_addresses = ready_addresses.clone();
        let bar = bar.clone();
        calls.spawn(async move {
            let mut records = vec![
                caller
                    .call(pick_address(&ready_addresses, number), &request)
                    .await,
            ];
            if request.resend {
                sleep(RESEND_DELAY).await;
                let resent = PlannedRequest {
                    at: caller.start.elapsed(),
                    ..request
                };
                records.push(
                    caller
                        .call(pick_address(&ready_addresses, number + 1), &resent)
                        .await,
                );
            }
            bar.inc(1);
            records
        });
    }
    let mut records = Vec::new();
    while let Some(done) = calls.join_next().await {
        records.extend(done.unwrap_or_default());
    }
    records
}

/// Picks a host round-robin among the ready hosts, as a load balancer does.
fn pick_address(ready_addresses: &watch::Receiver<Vec<SocketAddr>>, number: usize) -> SocketAddr {
    let addresses = ready_addresses.borrow();
    addresses[number % addresses.len()]
}

/// A fleet to which faults are applied, with the observations made on the way.
struct ObservedFleet {
    fleet: Fleet,
    leaving: BTreeMap<UpstreamId, LeavingSpan>,
    versions: Vec<Vec<ConfigVersion>>,
}

impl ObservedFleet {
    async fn run_faults(
        &mut self,
        scenario: &Scenario,
        start: Instant,
        addresses: &watch::Sender<Vec<SocketAddr>>,
    ) -> eyre::Result<()> {
        let mut steps: Vec<(f64, &FaultKind, bool)> = Vec::new();
        for fault in &scenario.faults {
            steps.push((fault.at_s, &fault.kind, true));
            steps.push((fault.at_s + fault.for_s, &fault.kind, false));
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at_s, kind, active) in steps {
            sleep_until(start + Duration::from_secs_f64(at_s)).await;
            self.record_versions();
            self.apply_fault(scenario, kind, active, addresses).await?;
        }
        Ok(())
    }

    fn record_versions(&mut self) {
        for (seen, host) in self.versions.iter_mut().zip(&self.fleet.hosts) {
            if let Some(version) = host.as_ref().and_then(|host| host.status().version) {
                seen.push(version);
            }
        }
    }

    async fn apply_fault(
        &mut self,
        scenario: &Scenario,
        kind: &FaultKind,
        active: bool,
        addresses: &watch::Sender<Vec<SocketAddr>>,
    ) -> eyre::Result<()> {
        match kind {
            FaultKind::EngineBreaks {
                after_events,
                upstream,
            } => {
                let break_after_events = active.then_some(*after_events);
                self.set_engine_faults(upstream, |faults| {
                    faults.break_after_events = break_after_events;
                })
            }
            FaultKind::EngineCrash { upstream } => {
                self.set_engine_faults(upstream, |faults| faults.crashed = active)
            }
            FaultKind::EngineLeaves { upstream } => {
                self.set_upstream_leaving(upstream, active);
                Ok(())
            }
            FaultKind::EngineSlow { factor, upstream } => {
                let slow_factor = if active { *factor } else { 1.0 };
                self.set_engine_faults(upstream, |faults| faults.slow_factor = slow_factor)
            }
            FaultKind::HostReplaced { host } if active => {
                self.replace_host(scenario, *host, addresses).await
            }
            FaultKind::OperatorsRace { operators } if active => {
                self.race_operators(*operators).await
            }
            FaultKind::HostReplaced { .. } | FaultKind::OperatorsRace { .. } => Ok(()),
            FaultKind::ServiceResets { upstream } => {
                let service = self.fleet.services.get(upstream);
                let service =
                    service.ok_or_else(|| eyre!("fleet has no service replica {upstream}"))?;
                service.set_faults(ServiceFaults {
                    reset_after_run: active,
                    ..ServiceFaults::default()
                });
                Ok(())
            }
            FaultKind::StoreDown => {
                self.set_platform_faults(PlatformFaults {
                    down: active,
                    ..PlatformFaults::default()
                });
                Ok(())
            }
            FaultKind::StoreLosesAnswers { answers } => {
                self.set_platform_faults(PlatformFaults {
                    lose_answers: if active { *answers } else { 0 },
                    ..PlatformFaults::default()
                });
                Ok(())
            }
            FaultKind::StoreSlow { delay_ms } => {
                self.set_platform_faults(PlatformFaults {
                    delay_ms: if active { *delay_ms } else { 0 },
                    ..PlatformFaults::default()
                });
                Ok(())
            }
        }
    }

    fn set_engine_faults(
        &self,
        upstream: &UpstreamId,
        edit: impl FnOnce(&mut EngineFaults),
    ) -> eyre::Result<()> {
        let engine = self.fleet.engines.get(upstream);
        let engine = engine.ok_or_else(|| eyre!("fleet has no engine {upstream}"))?;
        let mut faults = EngineFaults::default();
        edit(&mut faults);
        engine.set_faults(faults);
        Ok(())
    }

    fn set_platform_faults(&self, faults: PlatformFaults) {
        self.fleet.platform.set_faults(faults);
    }

    fn set_upstream_leaving(&mut self, upstream: &UpstreamId, leaving: bool) {
        let now_ms = self.fleet.log.now_ms();
        let state = if leaving {
            let span = LeavingSpan {
                from_ms: now_ms,
                until_ms: None,
            };
            self.leaving.insert(upstream.clone(), span);
            ListedState::Leaving
        } else {
            if let Some(span) = self.leaving.get_mut(upstream) {
                span.until_ms = Some(now_ms);
            }
            ListedState::Live
        };
        self.fleet.platform.list_upstream(upstream.clone(), state);
    }

    /// Starts a replacement for a host, sends new requests to the replacement, then
    /// drains and stops the old host.
    async fn replace_host(
        &mut self,
        scenario: &Scenario,
        number: usize,
        addresses: &watch::Sender<Vec<SocketAddr>>,
    ) -> eyre::Result<()> {
        let old = self.fleet.hosts.get_mut(number).and_then(Option::take);
        let old = old.ok_or_else(|| eyre!("fleet has no running host with number {number}"))?;
        let new = self.fleet.start_host(scenario, number).await?;
        self.fleet.hosts[number] = Some(new);
        self.fleet.list_hosts();
        addresses.send_replace(self.fleet.caller_addresses());
        fleet::stop_host(old).await?;
        Ok(())
    }

    /// Submits several patches against the same version concurrently and fails
    /// unless exactly one is accepted.
    async fn race_operators(&self, operators: u32) -> eyre::Result<()> {
        let store = self.fleet.store();
        let base = store.newest_version().await?;
        let share = self.fleet.hosts.len() as f64;
        let submits = (0..operators).map(|number| {
            let store = store.clone();
            async move {
                let value = (f64::from(number) + 1.0) / (f64::from(operators) + share);
                let operations = serde_json::from_value(
                    json!([{"op": "replace", "path": RACE_PATCH_PATH, "value": value}]),
                )?;
                let patch = config::Patch {
                    author: format!("operator-{number}"),
                    base,
                    id: format!("race-{base}-{number}"),
                    operations,
                };
                match store.submit(&patch).await {
                    Ok(_) => Ok::<_, eyre::Report>(1),
                    Err(ConfigStoreError::Stale { .. }) => Ok(0),
                    Err(error) => Err(error.into()),
                }
            }
        });
        let accepted: u32 = futures::future::try_join_all(submits)
            .await?
            .into_iter()
            .sum();
        if accepted != 1 {
            bail!("{accepted} of {operators} racing patches were accepted, expected 1");
        }
        Ok(())
    }
}
