//! Measures how a host's work in an installation scales with the number of known engines:
//! placing a prompt, a tick while a response streams, a changed table of upstreams, and a
//! changed table just after the store becomes available again.
//!
//! `cargo bench -p rhubarbcove-policy --bench installation`

#![allow(missing_docs, dead_code, clippy::unwrap_used)]

use {
    policy::Event,
    std::time::{Duration, Instant},
    support::{Host, TestRequest, engines, sent},
};

#[path = "../../tests/installation/support.rs"]
mod support;

const ROUNDS: u32 = 200;

fn main() {
    println!("engines  placed us   tick us  table ms  table after the store's return ms");
    for count in [60, 200, 1_000, 3_000] {
        let mut host = Host::new(0);
        host.list_hosts(300);
        host.read_directory(engines(count), &[]);
        let placed = mean_duration(ROUNDS, |round| place(&mut host, round));
        place(&mut host, 0);
        let tick = mean_duration(ROUNDS, |_| host.advance(10));
        let table = mean_duration(20, |round| change_table(&mut host, count, round));
        host.handle(Event::DirectoryLost);
        host.handle(Event::DirectoryRegained { at: host.now });
        let regained = mean_duration(4, |round| change_table(&mut host, count, round));
        println!(
            "{count:>7} {:>10.1} {:>9.1} {:>9.2} {:>9.2}",
            placed.as_secs_f64() * 1e6,
            tick.as_secs_f64() * 1e6,
            table.as_secs_f64() * 1e3,
            regained.as_secs_f64() * 1e3,
        );
    }
}

/// Mean duration of one call of `work`.
fn mean_duration(rounds: u32, mut work: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for round in 0..rounds {
        work(round);
    }
    start.elapsed() / rounds
}

fn place(host: &mut Host, round: u32) {
    let parts = [
        (u64::from(round % 40), 6_000),
        (1_000 + u64::from(round), 2_000),
    ];
    let (request, actions) = host.ask(TestRequest::prompt("draft", "first-key", &parts));
    let order = sent(&actions).unwrap();
    if !round.is_multiple_of(8) {
        host.finish(&order, request);
    }
}

/// Reads a table of upstreams from which one engine is missing, another in each round.
fn change_table(host: &mut Host, count: usize, round: u32) {
    let mut listed = engines(count);
    let removed = format!("engine-{round}").parse().unwrap();
    listed.remove(&removed);
    host.read_directory(listed, &[]);
}
