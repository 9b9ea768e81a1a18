//! Property tests of the controller. A model of callers and upstreams generates random events and
//! checks the resulting actions.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Document, VersionedDocument},
    policy::{
        Action, Arrival, AttemptEnd, ClaimResult, Controller, ControllerOptions, Event,
        Repeatability, SlotRules, Target,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    serde_json::{Value, json},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::prelude::*,
};

mod document;
mod model;
mod step;

use {document::document, model::Model, step::Step};

const ENGINES: u32 = 3;
const SLOTS: u32 = 2;
const CLASSES: [&str; 3] = ["alert", "order", "summary"];

/// The seed is fixed, so that each run has the same result.
const SEED: u64 = 20_261_202;

fn engine(number: u8) -> UpstreamId {
    format!("engine-{}", u32::from(number) % ENGINES)
        .parse()
        .unwrap()
}

/// Checks these invariants:
///
/// - No request is sent while another attempt of it runs, after its final response, without its
///   claim, or, as new work, to a leaving engine. A request that must run at most once is not sent
///   again after it may have run.
/// - No request is refused in favour of a less urgent one.
/// - Every request is answered once, and its verdict is correct.
/// - Every claim is settled, and no slot is lost.
#[test]
fn invariants_hold_under_random_events() {
    fn satisfies_invariants(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in &steps {
            model.apply_step(step);
        }
        model.settle();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(300)
        .quickcheck(satisfies_invariants as fn(Vec<Step>) -> bool);
}
