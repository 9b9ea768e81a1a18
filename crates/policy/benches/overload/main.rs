//! Compares the controller with baseline routers under load: target attainment, goodput,
//! and unserved and refused requests. Engines are simulated as slots in virtual time, so
//! that the same seed gives the same figures on any machine.
//!
//! `cargo bench -p rhubarbcove-policy --bench overload -- [LOADS | HOSTS]`

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, VersionedDocument},
    peer::PeerHost,
    policy::{
        Action, Arrival, AttemptEnd, Controller, ControllerOptions, Event, Repeatability,
        ShareOverrun, SlotRules, Target,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp, LogNormal},
    serde_json::json,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    types::prelude::*,
};

mod all_knowing;
mod bench_request;
mod bench_router;
mod choice_of_two;
mod class;
mod controllers;
mod first_in_first_out;
mod result;
mod simulation;

use {
    all_knowing::AllKnowing,
    bench_request::{BenchRequest, generate},
    bench_router::{BenchRouter, Start},
    choice_of_two::ChoiceOfTwo,
    class::CLASSES,
    controllers::{Controllers, Peering},
    first_in_first_out::FirstInFirstOut,
    result::{BenchResult, print_table},
    simulation::{Site, run},
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let only = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    if only.as_deref() != Some("HOSTS") {
        one_host();
    }
    if only.as_deref() != Some("LOADS") {
        many_hosts();
    }
}

fn rules(headroom_share: f64, share_overrun: ShareOverrun) -> SlotRules {
    SlotRules {
        headroom_share,
        share_overrun,
        trial_share: 0.5,
    }
}

/// Compares the controller of a single host with round robin over first-in, first-out
/// queues, and with the reference queue [`AllKnowing`].
fn one_host() {
    let site = Site {
        engines: 9,
        hosts: 1,
        skew: 1.0,
        slots: 8,
    };
    for load in [0.7, 1.2, 2.0] {
        let mut rows = Vec::new();
        let mut add = |name: &str, make: &dyn Fn(u64) -> Box<dyn BenchRouter>| {
            rows.push((name.to_string(), average(&site, load, make)));
        };
        add("all-knowing queue", &|_| Box::new(AllKnowing::new(&site)));
        add("fifo, round robin", &|_| {
            Box::new(FirstInFirstOut::new(&site))
        });
        for headroom in [0.0, 0.125, 0.25] {
            let name = format!("controller, headroom {headroom}");
            add(&name, &|seed| {
                let rules = rules(headroom, ShareOverrun::None);
                Box::new(Controllers::new(&site, &rules, Peering::Off, 0.0, seed))
            });
        }
        print_table(&format!("one host, load {load}"), &rows);
    }
}

/// Compares the routers on eight hosts, of which one gets a third of the load.
fn many_hosts() {
    let site = Site {
        engines: 9,
        hosts: 8,
        skew: 3.5,
        slots: 8,
    };
    for load in [0.7, 1.2, 2.0] {
        let mut rows = Vec::new();
        let mut add = |name: &str, make: &dyn Fn(u64) -> Box<dyn BenchRouter>| {
            rows.push((name.to_string(), average(&site, load, make)));
        };
        add("all-knowing queue", &|_| Box::new(AllKnowing::new(&site)));
        add("choice of two", &|seed| {
            Box::new(ChoiceOfTwo::new(&site, seed))
        });
        for (name, peering, headroom, share_overrun) in [
            ("equal split", Peering::Off, 0.0, ShareOverrun::None),
            ("shares", Peering::On, 0.0, ShareOverrun::None),
            (
                "shares, overdraft",
                Peering::On,
                0.0,
                ShareOverrun::ReportedFreeSlot,
            ),
            (
                "shares, overdraft, 5 % headroom",
                Peering::On,
                0.05,
                ShareOverrun::ReportedFreeSlot,
            ),
            (
                "shares, overdraft, 10 % headroom",
                Peering::On,
                0.1,
                ShareOverrun::ReportedFreeSlot,
            ),
            (
                "shares, overdraft, 20 % headroom",
                Peering::On,
                0.2,
                ShareOverrun::ReportedFreeSlot,
            ),
            (
                "the same, also into engines' queues",
                Peering::On,
                0.2,
                ShareOverrun::EngineQueue,
            ),
            (
                "10 %, coordinator frozen half the time",
                Peering::Frozen,
                0.1,
                ShareOverrun::ReportedFreeSlot,
            ),
        ] {
            add(name, &|seed| {
                let rules = rules(0.0, share_overrun);
                Box::new(Controllers::new(&site, &rules, peering, headroom, seed))
            });
        }
        print_table(&format!("eight hosts, uneven, load {load}"), &rows);
    }
}

fn average(site: &Site, load: f64, make: &dyn Fn(u64) -> Box<dyn BenchRouter>) -> BenchResult {
    let mut total = BenchResult::default();
    for seed in SEEDS {
        let requests = generate(site, load, seed);
        let mut router = make(seed);
        total.add(&run(site, &requests, router.as_mut()));
    }
    total
}
