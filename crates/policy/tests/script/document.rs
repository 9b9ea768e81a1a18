use super::*;

/// Configuration of a script: `engines=N` engines that resume streams, with `slots=M` slots each,
/// and a service `orders` with one replica. `edits` is merged into the configuration.
pub fn document(args: &Args<'_>, edits: Value) -> Value {
    let engines: u32 = args.get_or("engines", 1);
    let slots: u32 = args.get_or("slots", 1);
    let mut document = json!({
        "classes": {
            "alert": class(0, 500, true),
            "question": class(0, 1_000, true),
            "order": class(1, 1_000, false),
            "draft": class(2, 2_000, true),
            "summary": class(4, 10_000, true),
            "description": class(5, 10_000, true),
        },
        "format": 1,
        "services": {"orders": {"idempotent": false}},
        "teams": {
            "guild": team("guild", "paid"),
            "shop": team("shop", "paid"),
            "visitors": team("visitors", "trial"),
        },
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
        "upstreams": {
            "orders-0": {
                "kind": "service", "address": "127.0.0.1:9000", "failure_domain": "a",
                "service": "orders", "slots": 4,
            },
        },
    });
    for number in 0..engines {
        document["upstreams"][format!("engine-{number}")] = json!({
            "kind": "engine", "address": format!("127.0.0.1:{}", 8000 + number),
            "failure_domain": domain(args, number), "models": ["small"], "queue_bound": 2,
            "resumes": true, "slots": slots,
        });
    }
    merge(&mut document, edits);
    document
}

/// Failure domain of an engine. `domains=(a,b)` assigns the engines to these domains in rotation.
fn domain(args: &Args<'_>, number: u32) -> String {
    let domains = args.list("domains");
    match domains.len() {
        0 => "a".to_string(),
        count => domains[number as usize % count].clone(),
    }
}

fn class(tier: u8, first_token_target_ms: u64, idempotent: bool) -> Value {
    json!({
        "between_token_target_ms": 27, "deadline_ms": 60_000,
        "first_token_target_ms": first_token_target_ms,
        "idempotent": idempotent, "tier": tier,
    })
}

fn team(key: &str, plan: &str) -> Value {
    let classes = match plan {
        "trial" => vec!["summary", "description"],
        _ => vec![
            "alert",
            "question",
            "order",
            "draft",
            "summary",
            "description",
        ],
    };
    json!({
        "classes": classes, "default_class": "summary",
        "key_sha256": KeyHash::of_key(key), "max_concurrent": 100,
        "max_requests_per_s": 1_000.0, "plan": plan,
    })
}

/// Merges `edits` into `value` recursively. A `null` removes the field.
fn merge(value: &mut Value, edits: Value) {
    match (value, edits) {
        (Value::Object(fields), Value::Object(edits)) => {
            for (name, edit) in edits {
                if edit.is_null() {
                    fields.remove(&name);
                } else {
                    merge(fields.entry(name).or_insert(Value::Null), edit);
                }
            }
        }
        (value, edits) => *value = edits,
    }
}
