use super::*;

/// Configuration with [`ENGINES`] engines and the classes in [`CLASSES`].
pub fn document() -> Value {
    let class = |tier: u8, idempotent: bool| {
        json!({
            "between_token_target_ms": 27, "deadline_ms": 60_000,
            "first_token_target_ms": 500, "idempotent": idempotent, "tier": tier,
        })
    };
    let mut document = json!({
        "classes": {
            "alert": class(0, true), "order": class(0, false), "summary": class(4, true),
        },
        "format": 1,
        "teams": {"shop": {
            "classes": CLASSES, "default_class": "summary",
            "key_sha256": KeyHash::of_key("shop"), "max_concurrent": 1_000,
            "max_requests_per_s": 100_000.0, "plan": "paid",
        }},
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
        "upstreams": {},
    });
    for number in 0..ENGINES {
        document["upstreams"][format!("engine-{number}")] = json!({
            "kind": "engine", "address": format!("127.0.0.1:{}", 8000 + number),
            "failure_domain": "a", "models": ["small"], "queue_bound": 2,
            "resumes": true, "slots": SLOTS,
        });
    }
    document
}
