use super::*;

pub async fn start_engines(count: usize, options: &EngineOptions) -> Vec<EngineStandin> {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let mut engines = Vec::new();
    for number in 0..count {
        let name = format!("engine-{number}");
        let engine = EngineStandin::start(any, &name, options.clone(), RunLog::default());
        engines.push(engine.await.unwrap());
    }
    engines
}

pub async fn start_host(
    engines: &[EngineStandin],
    options: &EngineOptions,
    caller_threads: usize,
    logger: Logger,
) -> Host<Serving> {
    let platform = PlatformStandin::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let client = PlatformClient::new(platform.address(), Duration::from_secs(1));
    let store = ConfigStore::new(Arc::new(client));
    store.create(document(engines, options)).await.unwrap();
    let text = format!(
        "balancer_pause_ms = 0\ncaller_address = \"127.0.0.1:0\"\n\
         caller_threads = {caller_threads}\nfailure_domain = \"a\"\n\
         host = \"host-0\"\noperator_address = \"127.0.0.1:0\"\n\
         operator_token = \"operator-token-of-bench\"\npeer_address = \"127.0.0.1:0\"\n\
         peer_token = \"peer-token-of-the-bench\"\nplatform_address = \"{}\"\n",
        platform.address()
    );
    let settings = Settings::from_toml(&text).unwrap();
    let started = tokio::task::spawn_blocking(move || {
        let host = Host::start(settings, logger).unwrap();
        assert!(host.wait_ready(Duration::from_secs(10)));
        host
    });
    let host = started.await.unwrap();
    // The host continues with the configuration that it has already read.
    platform.stop().await;
    host
}

fn document(engines: &[EngineStandin], options: &EngineOptions) -> Document {
    let mut upstreams = Map::new();
    for (number, engine) in engines.iter().enumerate() {
        let definition = json!({
            "kind": "engine", "address": engine.address(), "failure_domain": "a",
            "models": ["small"], "queue_bound": 8, "resumes": true, "slots": options.slots,
        });
        upstreams.insert(format!("engine-{number}"), definition);
    }
    Document::from_value(json!({
        "classes": {"question": {
            "between_token_target_ms": 27, "deadline_ms": 60_000,
            "first_token_target_ms": 660, "tier": 0,
        }},
        "format": 1,
        "teams": {"shop": {
            "classes": ["question"], "default_class": "question",
            "key_sha256": KeyHash::of_key("key"), "max_concurrent": 100_000,
            "max_requests_per_s": 1_000_000.0, "plan": "paid",
        }},
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
        "upstreams": upstreams,
    }))
    .unwrap()
}
