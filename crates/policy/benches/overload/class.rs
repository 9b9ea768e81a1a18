use super::*;

/// A request class of the benchmark: its latency targets and its share of the load.
pub struct Class {
    pub deadline_ms: u64,
    pub first_token_target_ms: u64,
    pub name: &'static str,
    pub share: f64,
    pub tier: u8,
    pub trial: bool,
}

/// Target for the time between two tokens, for all classes.
pub const BETWEEN_TOKEN_TARGET_MS: u64 = 27;

pub const CLASSES: [Class; 5] = [
    Class {
        deadline_ms: 10_000,
        first_token_target_ms: 660,
        name: "question",
        share: 0.2,
        tier: 0,
        trial: false,
    },
    Class {
        deadline_ms: 10_000,
        first_token_target_ms: 660,
        name: "check-in",
        share: 0.1,
        tier: 1,
        trial: false,
    },
    Class {
        deadline_ms: 20_000,
        first_token_target_ms: 2_000,
        name: "draft",
        share: 0.2,
        tier: 2,
        trial: false,
    },
    Class {
        deadline_ms: 60_000,
        first_token_target_ms: 20_000,
        name: "summary",
        share: 0.3,
        tier: 4,
        trial: false,
    },
    Class {
        deadline_ms: 60_000,
        first_token_target_ms: 20_000,
        name: "trial",
        share: 0.2,
        tier: 5,
        trial: true,
    },
];

/// The configuration of a benchmark: the classes, a paid and a trial team, and the
/// engines of the site.
pub fn document(site: &Site, max_headroom_share: f64) -> Document {
    let classes: BTreeMap<&str, _> = CLASSES
        .iter()
        .map(|class| {
            let definition = json!({
                "between_token_target_ms": BETWEEN_TOKEN_TARGET_MS,
                "deadline_ms": class.deadline_ms,
                "first_token_target_ms": class.first_token_target_ms,
                "tier": class.tier,
            });
            (class.name, definition)
        })
        .collect();
    let team = |trial: bool| {
        let team_classes = CLASSES.iter().filter(|class| class.trial == trial);
        let names: Vec<&str> = team_classes.map(|class| class.name).collect();
        json!({
            "classes": names, "default_class": names[0],
            "key_sha256": KeyHash::of_key(if trial { "trial" } else { "paid" }),
            "max_concurrent": 1_000_000, "max_requests_per_s": 1_000_000.0,
            "plan": if trial { "trial" } else { "paid" },
        })
    };
    let upstreams: BTreeMap<String, _> = (0..site.engines)
        .map(|number| {
            let definition = json!({
                "kind": "engine", "address": format!("127.0.0.1:{}", 10_000 + number),
                "failure_domain": "a", "models": ["small"],
                "queue_bound": simulation::QUEUE_BOUND, "resumes": true, "slots": site.slots,
            });
            (engine_name(number), definition)
        })
        .collect();
    Document::from_value(json!({
        "classes": classes, "format": 1,
        "scheduling": {"max_headroom_share": max_headroom_share},
        "teams": {"paid": team(false), "trial": team(true)},
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
        "upstreams": upstreams,
    }))
    .unwrap()
}

pub fn engine_name(number: usize) -> String {
    format!("engine-{number:03}")
}
