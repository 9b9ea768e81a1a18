//! Properties of the controller under random events: a model of callers and
//! upstreams drives it and checks what it orders.

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

/// Fixed, so that the verdict is the same on each run.
const SEED: u64 = 20_261_202;

fn engine(number: u8) -> UpstreamId {
    format!("engine-{}", u32::from(number) % ENGINES)
        .parse()
        .unwrap()
}

/// No request is sent twice at once, after its final answer, without its claim,
/// to a leaving engine, or again when it may have run and must not; none is
/// given up for a less urgent one; every one is answered once, truthfully; every
/// claim is settled; no slot is lost.
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
