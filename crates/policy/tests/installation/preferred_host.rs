//! One host that receives most requests for some seconds, and another one after it.

use {
    crate::engine_simulation::{Counts, EngineSimulation},
    std::time::Duration,
};

/// Time after which the host must serve its requests.
const ADAPTATION: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(6);

/// Requests per second of each class and engine, about 0.7 of what an engine serves.
const PER_S_AND_ENGINE: [f64; 3] = [6.0, 3.0, 1.5];

/// Share of the requests of all classes that are served.
fn served_share(simulation: &mut EngineSimulation, per_s: [f64; 3]) -> f64 {
    let sum = |counts: &[Counts]| {
        let sums = counts.iter().map(|counts| (counts.arrived, counts.served));
        sums.fold((0, 0), |all, counts| (all.0 + counts.0, all.1 + counts.1))
    };
    let before = sum(&simulation.counts);
    simulation.advance(SPAN, per_s);
    let after = sum(&simulation.counts);
    (after.1 - before.1) as f64 / (after.0 - before.0) as f64
}

/// Guards against a host that refuses most requests although the engines are free, because what
/// hosts divide among themselves follows the demand too slowly.
#[test]
fn a_host_that_receives_most_requests_serves_them() {
    for (hosts, engines) in [(6, 4), (24, 12)] {
        for share in [0.7, 1.0] {
            let mut simulation = EngineSimulation::new(hosts, engines, 1);
            let per_s = PER_S_AND_ENGINE.map(|per_s| per_s * engines as f64);
            simulation.advance(ADAPTATION, per_s);
            let before = served_share(&mut simulation, per_s);
            for preferred in [0, 1] {
                simulation.preferred_host = Some((preferred, share));
                simulation.advance(ADAPTATION, per_s);
                let after = served_share(&mut simulation, per_s);
                let seen =
                    format!("{hosts} hosts, {share} at one: {before:.3} before, {after:.3} after");
                println!("{seen}");
                assert!(after >= 0.9 * before, "{seen}");
            }
        }
    }
}
