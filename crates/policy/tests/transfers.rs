//! Simulation, in virtual time, of the hosts of a failure domain that start together and copy the
//! table of upstreams from each other over slow links.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    policy::{TableSourceSearch, TableTransferSlots},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    types::Time,
};

/// Bandwidth of each host's link: 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// Time for a request and a response without rows.
const ROUND_TRIP_MS: u64 = 2;

/// Longest delay before a host that found no free transfer slot tries again.
const MAX_RETRY_DELAY_MS: u64 = 200;

const STEP_MS: u64 = 1;

/// State of a host in the simulation.
enum HostState {
    /// Waits until `until_ms`, then requests the table from the first host.
    Waiting {
        until_ms: u64,
    },
    /// Requests the table from hosts other than the first.
    Searching {
        search: TableSourceSearch,
        at_ms: u64,
    },
    Receiving {
        from: usize,
        slot: u64,
        remaining_bytes: f64,
    },
    Done {
        at_ms: u64,
    },
}

struct Simulation {
    states: Vec<HostState>,
    now_ms: u64,
    rng: SmallRng,
    slots: Vec<TableTransferSlots>,
    table_bytes: f64,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + host as u16))
}

impl Simulation {
    /// Creates a simulation in which the first host has the table and all others start without it.
    fn new(hosts: usize, table_bytes: f64, seed: u64) -> Self {
        let states = (0..hosts).map(|host| match host {
            0 => HostState::Done { at_ms: 0 },
            _ => HostState::Waiting { until_ms: 0 },
        });
        Self {
            states: states.collect(),
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            slots: (0..hosts).map(|_| TableTransferSlots::default()).collect(),
            table_bytes,
        }
    }

    /// Runs until all hosts have the table, and returns the milliseconds that took; `None` if
    /// `limit_ms` passes first.
    fn run_until_filled(&mut self, limit_ms: u64) -> Option<u64> {
        while self.now_ms < limit_ms {
            if self
                .states
                .iter()
                .all(|state| matches!(state, HostState::Done { .. }))
            {
                let times = self.states.iter().map(|state| match state {
                    HostState::Done { at_ms } => *at_ms,
                    _ => self.now_ms,
                });
                return times.max();
            }
            self.step();
            self.now_ms += STEP_MS;
        }
        None
    }

    fn step(&mut self) {
        let mut transfers_by_sender: BTreeMap<usize, usize> = BTreeMap::new();
        for state in &self.states {
            if let HostState::Receiving { from, .. } = state {
                *transfers_by_sender.entry(*from).or_default() += 1;
            }
        }
        for host in 0..self.states.len() {
            self.step_host(host, &transfers_by_sender);
        }
    }

    fn step_host(&mut self, host: usize, transfers_by_sender: &BTreeMap<usize, usize>) {
        let now_ms = self.now_ms;
        match &mut self.states[host] {
            HostState::Done { .. } => {}
            HostState::Waiting { until_ms } if *until_ms > now_ms => {}
            HostState::Waiting { .. } => self.request_table(host, 0, TableSourceSearch::default()),
            HostState::Searching { at_ms, .. } if *at_ms > now_ms => {}
            HostState::Searching { search, .. } => {
                let mut search = std::mem::take(search);
                match search.next(&mut self.rng) {
                    Some(next) => {
                        self.request_table(host, usize::from(next.port()) - 1_000, search);
                    }
                    None => {
                        let delay_ms = self
                            .rng
                            .random_range(MAX_RETRY_DELAY_MS / 2..=MAX_RETRY_DELAY_MS);
                        let until_ms = now_ms + delay_ms;
                        self.states[host] = HostState::Waiting { until_ms };
                    }
                }
            }
            HostState::Receiving {
                from,
                slot,
                remaining_bytes,
            } => {
                let rate = LINK_BYTES_PER_S / transfers_by_sender[from] as f64;
                *remaining_bytes -= rate * STEP_MS as f64 / 1_000.0;
                if *remaining_bytes <= 0.0 {
                    let (from, slot) = (*from, *slot);
                    self.slots[from].end(slot);
                    self.states[host] = HostState::Done { at_ms: now_ms };
                }
            }
        }
    }

    fn request_table(&mut self, host: usize, from: usize, mut search: TableSourceSearch) {
        let has_table = matches!(self.states[from], HostState::Done { .. });
        let now = Time::from_ms(self.now_ms);
        let slot = has_table.then(|| self.slots[from].begin(now, Some(address(host))));
        if let Some(Some(slot)) = slot {
            let remaining_bytes = self.table_bytes;
            self.states[host] = HostState::Receiving {
                from,
                slot,
                remaining_bytes,
            };
            return;
        }
        if has_table {
            search.follow_referral(self.slots[from].recipients());
        }
        let at_ms = self.now_ms + ROUND_TRIP_MS;
        self.states[host] = HostState::Searching { search, at_ms };
    }
}

/// Guards against hosts that never serve again after all were killed, because all copy the table
/// from one host and each gets only a small share of that host's link.
#[test]
fn a_hundred_hosts_that_start_together_get_the_table_in_time() {
    for seed in 0..8 {
        let filled_ms = Simulation::new(100, 150_000.0, seed).run_until_filled(15_000);
        assert!(
            filled_ms.is_some_and(|filled_ms| filled_ms <= 5_000),
            "seed {seed}: {filled_ms:?}"
        );
    }
}

/// Guards against transfer slots that stay occupied after a recipient was lost during a transfer.
#[test]
fn a_lost_receiver_holds_a_slot_for_a_few_seconds_only() {
    let mut slots = TableTransferSlots::default();
    let start = Time::from_ms(0);
    while slots.begin(start, Some(address(1))).is_some() {}
    assert_eq!(slots.begin(start + Duration::from_secs(1), None), None);
    assert!(slots.begin(start + Duration::from_secs(4), None).is_some());
    assert!(slots.recipients().is_empty(), "no transfer was completed");
}
