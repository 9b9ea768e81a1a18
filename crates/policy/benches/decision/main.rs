//! Measures how the controller's work scales: a scheduling decision with the number of
//! queued requests, upstreams and teams; applying a configuration with its size; and a
//! coordinator's heartbeat answer with the number of hosts. Compare the growth between
//! rows, since absolute times are noisy.
//!
//! `cargo bench -p rhubarbcove-policy --bench decision`

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, Route, VersionedDocument},
    peer::{Demand, Heartbeat, PeerHost, PeerPhase},
    policy::{
        Action, Arrival, AttemptEnd, Controller, ControllerOptions, Event, Repeatability,
        SlotRules, Target,
    },
    serde_json::{Map, json},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
    types::prelude::*,
};

mod setup;

use setup::{Size, arrival, controller, document, heartbeat, peer_host, with_routes};

/// Number of host names that the routes are spread over.
const HOSTNAMES: usize = 4;

/// Number of route lookups timed for each figure.
const ROUTE_LOOKUPS: usize = 2_000;

/// Number of decisions timed for each figure.
const DECISIONS: usize = 20_000;

fn main() {
    let base = Size {
        queued: 10_000,
        teams: 870,
        upstreams: 200,
    };
    println!("a request ends and the next one is sent, with so many queued, upstreams and teams:");
    for size in [
        base,
        Size {
            queued: 20_000,
            ..base
        },
        Size {
            queued: 1_000,
            ..base
        },
        Size {
            upstreams: 400,
            ..base
        },
        Size {
            upstreams: 100,
            ..base
        },
        Size {
            teams: 1_740,
            ..base
        },
        Size { teams: 435, ..base },
    ] {
        decisions(size);
    }
    println!("\na whole fleet's configuration:");
    for (upstreams, teams) in [(131, 870), (1_050, 870), (2_100, 870), (2_100, 435)] {
        configuration(upstreams, teams);
    }
    println!("\na configuration of many routes:");
    for (count, teams) in [(10, 24), (1_000, 24), (7_000, 24), (7_000, 870)] {
        routes(count, teams);
    }
    println!("\na coordinator answers a heartbeat, 131 upstreams, 8 models:");
    for hosts in [2, 8, 24, 48] {
        coordinator(hosts);
    }
}

fn decisions(size: Size) {
    let mut controller = controller(size);
    let mut actions = Vec::new();
    let mut running: VecDeque<(RequestId, AttemptId)> = VecDeque::new();
    let mut next = 0;
    let mut now = Time::default();
    let in_flight = size.upstreams * setup::SLOTS as usize;
    while next < size.queued + in_flight {
        controller.handle(now, Event::Arrived(arrival(next, size.teams)), &mut actions);
        next += 1;
    }
    record_sent(&mut actions, &mut running);
    let start = Instant::now();
    for _ in 0..DECISIONS {
        now = now.plus_ms(1);
        let (request, attempt) = running.pop_front().unwrap();
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: Duration::ZERO,
            tokens: Tokens::new(100),
        };
        let event = Event::AttemptEnded {
            attempt,
            end,
            request,
        };
        controller.handle(now, event, &mut actions);
        controller.handle(now, Event::Arrived(arrival(next, size.teams)), &mut actions);
        next += 1;
        record_sent(&mut actions, &mut running);
    }
    let mean_us = start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    println!(
        "  {:>6} queued {:>4} upstreams {:>5} teams: {mean_us:>7.2} us, with the arrival of the one after it",
        controller.queued(),
        size.upstreams,
        size.teams,
    );
}

fn record_sent(actions: &mut Vec<Action>, running: &mut VecDeque<(RequestId, AttemptId)>) {
    for action in actions.drain(..) {
        if let Action::Send { order, request } = action {
            running.push_back((request, order.attempt));
        }
    }
}

fn configuration(upstreams: usize, teams: usize) {
    let document = document(upstreams, teams);
    let bytes = document.to_json().len();
    let patch = json!([{"op": "replace", "path": "/trial/max_slot_share", "value": 0.4}]);
    let patch: json_patch::Patch = serde_json::from_value(patch).unwrap();
    let start = Instant::now();
    let patched = document.patched(&patch).unwrap();
    let patch_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut controller = controller(Size {
        queued: 0,
        teams,
        upstreams,
    });
    let apply_ms = apply_time_ms(&mut controller, patched);
    println!(
        "  {upstreams:>4} upstreams {teams:>3} teams: {:>4} KB as JSON, patched in {patch_ms:.1} ms, \
         put in force in {apply_ms:.1} ms",
        bytes / 1_000,
    );
}

/// Measures how long the controller takes to apply the next configuration version.
fn apply_time_ms(controller: &mut Controller, document: Document) -> f64 {
    let versioned = Arc::new(VersionedDocument {
        document,
        version: ConfigVersion::new(2),
    });
    let start = Instant::now();
    let event = Event::ConfigurationRead(versioned);
    controller.handle(Time::default(), event, &mut Vec::new());
    start.elapsed().as_secs_f64() * 1e3
}

/// Measures a configuration with many routes, each with its own class, as in installations.
fn routes(count: usize, teams: usize) {
    let document = with_routes(document(1, teams), count);
    let mut controller = controller(Size {
        queued: 0,
        teams,
        upstreams: 1,
    });
    let start = Instant::now();
    for number in 0..ROUTE_LOOKUPS {
        let wanted = number % count;
        let hostname = format!("host-{}.example", wanted % HOSTNAMES);
        let path = format!("/route-{wanted}/7");
        assert!(document.routes.find(&hostname, &path).is_some());
    }
    let find_us = start.elapsed().as_secs_f64() * 1e6 / ROUTE_LOOKUPS as f64;
    let apply_ms = apply_time_ms(&mut controller, document);
    println!(
        "  {count:>5} routes {teams:>3} teams: put in force in {apply_ms:.2} ms, a route found in {find_us:.2} us"
    );
}

fn coordinator(hosts: usize) {
    let mut controller = controller(Size {
        queued: 0,
        teams: 10,
        upstreams: 131,
    });
    let mut actions = Vec::new();
    let listed = (0..hosts).map(peer_host).collect();
    controller.handle(
        Time::default(),
        Event::HostsListed { hosts: listed },
        &mut actions,
    );
    let rounds = 200;
    let mut now = Time::default();
    let mut bytes = (0, 0);
    let start = Instant::now();
    for round in 0..rounds {
        for number in 0..hosts {
            now = now.plus_ms(100);
            let heartbeat = heartbeat(number, round);
            let event = Event::HeartbeatReceived { call: 0, heartbeat };
            controller.handle(now, event, &mut actions);
        }
    }
    let mean_us = start.elapsed().as_secs_f64() * 1e6 / (rounds * hosts) as f64;
    for action in actions {
        if let Action::AnswerHeartbeat { answer, .. } = action {
            bytes.1 = serde_json::to_string(&answer).unwrap().len();
        }
    }
    bytes.0 = serde_json::to_string(&heartbeat(0, 0)).unwrap().len();
    println!(
        "  {hosts:>3} hosts: {mean_us:>7.1} us each; a loaded host's heartbeat {} bytes, its answer {}",
        bytes.0, bytes.1,
    );
}
