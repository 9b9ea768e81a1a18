//! Validation of a document: every reference resolves, every number is in range, and no key or
//! address occurs twice.

use super::*;

/// Longest deadline of a class: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Maximum number of slots of one upstream.
const MAX_SLOTS: u32 = 100_000;

/// Valid range of the memory that one token of a prompt takes, up to 64 MiB.
pub const PROMPT_TOKEN_BYTES_RANGE: RangeInclusive<u64> = 1..=64 * 1_024 * 1_024;

pub(crate) fn check(document: &Document) -> Result<(), ConfigError> {
    check_names(document).map_err(|error| ConfigError::BadName { error })?;
    check_trial(&document.trial)?;
    check_scheduling(&document.scheduling)?;
    if let Some(limits) = &document.caller_limits {
        check_caller_limits(limits)?;
    }
    for (id, class) in &document.classes {
        check_class(id, class)?;
    }
    for (id, team) in &document.teams {
        check_team(document, id, team)?;
    }
    check_keys(document)?;
    for (id, upstream) in &document.upstreams {
        check_upstream(document, id, upstream)?;
    }
    check_addresses(document)
}

/// Checks the names of an operator's own document, which are used in paths and row keys.
fn check_names(document: &Document) -> Result<(), ParseIdError> {
    let Document {
        classes,
        routes,
        services,
        teams,
        upstreams,
        ..
    } = document;
    classes.keys().try_for_each(ClassId::check_plain)?;
    routes.ids().try_for_each(RouteId::check_plain)?;
    services.keys().try_for_each(ServiceId::check_plain)?;
    teams.keys().try_for_each(TeamId::check_plain)?;
    let engines = upstreams.values().filter_map(|upstream| match upstream {
        Upstream::Engine(engine) => Some(engine),
        Upstream::Service(_) => None,
    });
    let mut models = engines.flat_map(|engine| &engine.models);
    models.try_for_each(ModelId::check_plain)
}

fn ensure_in_range(is_valid: bool, field: String, expected: &str) -> Result<(), ConfigError> {
    if is_valid {
        return Ok(());
    }
    Err(ConfigError::OutOfRange {
        expected: expected.to_string(),
        field,
    })
}

fn check_caller_limits(limits: &CallerLimits) -> Result<(), ConfigError> {
    let fields = [
        ("head_timeout_ms", limits.head_timeout_ms),
        ("idle_timeout_ms", limits.idle_timeout_ms),
        ("max_body_bytes", limits.max_body_bytes.get()),
        ("max_head_bytes", limits.max_head_bytes.get()),
    ];
    for (name, value) in fields {
        ensure_in_range(value > 0, format!("caller_limits.{name}"), "1 or more")?;
    }
    Ok(())
}

fn check_trial(trial: &TrialRules) -> Result<(), ConfigError> {
    let share = trial.max_slot_share;
    ensure_in_range(
        share > 0.0 && share <= 1.0,
        "trial.max_slot_share".to_string(),
        "above 0, at most 1",
    )
}

fn check_scheduling(scheduling: &Scheduling) -> Result<(), ConfigError> {
    ensure_in_range(
        (0.0..=0.5).contains(&scheduling.max_headroom_share),
        "scheduling.max_headroom_share".to_string(),
        "0 to 0.5",
    )
}

fn check_class(id: &ClassId, class: &Class) -> Result<(), ConfigError> {
    ensure_in_range(
        (1..=MAX_DEADLINE_MS).contains(&class.deadline_ms),
        format!("classes.{id}.deadline_ms"),
        "1 to 86400000",
    )?;
    ensure_in_range(
        (1..=class.deadline_ms).contains(&class.first_token_target_ms),
        format!("classes.{id}.first_token_target_ms"),
        "1 to the class's deadline_ms",
    )?;
    ensure_in_range(
        class.objective > 0.0 && class.objective < 1.0,
        format!("classes.{id}.objective"),
        "above 0, below 1",
    )
}

fn check_team(document: &Document, id: &TeamId, team: &Team) -> Result<(), ConfigError> {
    ensure_in_range(
        (1..=1_000).contains(&team.weight),
        format!("teams.{id}.weight"),
        "1 to 1000",
    )?;
    ensure_in_range(
        team.max_concurrent >= 1,
        format!("teams.{id}.max_concurrent"),
        "1 or more",
    )?;
    ensure_in_range(
        team.max_requests_per_s.get() > 0.0,
        format!("teams.{id}.max_requests_per_s"),
        "above 0",
    )?;
    if !team.classes.contains(&team.default_class) {
        return Err(ConfigError::DefaultClassNotAllowed { team: id.clone() });
    }
    team.classes
        .iter()
        .try_for_each(|class| check_team_class(document, id, team, class))
}

fn check_team_class(
    document: &Document,
    id: &TeamId,
    team: &Team,
    class: &ClassId,
) -> Result<(), ConfigError> {
    let Some(definition) = document.classes.get(class) else {
        return Err(ConfigError::UnknownClass {
            class: class.clone(),
            team: id.clone(),
        });
    };
    let most_urgent = document.trial.most_urgent_tier;
    if team.plan == Plan::Trial && definition.tier.is_more_urgent_than(most_urgent) {
        return Err(ConfigError::TrialClassTooUrgent {
            class: class.clone(),
            team: id.clone(),
        });
    }
    Ok(())
}

fn check_keys(document: &Document) -> Result<(), ConfigError> {
    let mut owners: BTreeMap<KeyHash, &TeamId> = BTreeMap::new();
    for (id, team) in &document.teams {
        for key in team.key_hashes() {
            if let Some(first) = owners.insert(key, id) {
                return Err(ConfigError::DuplicateKey {
                    first: first.clone(),
                    second: id.clone(),
                });
            }
        }
    }
    Ok(())
}

fn check_upstream(
    document: &Document,
    id: &UpstreamId,
    upstream: &Upstream,
) -> Result<(), ConfigError> {
    ensure_in_range(
        (1..=MAX_SLOTS).contains(&upstream.slots()),
        format!("upstreams.{id}.slots"),
        "1 to 100000",
    )?;
    match upstream {
        Upstream::Engine(engine) => ensure_in_range(
            engine
                .prompt_token_bytes
                .is_none_or(|bytes| PROMPT_TOKEN_BYTES_RANGE.contains(&bytes.get())),
            format!("upstreams.{id}.prompt_token_bytes"),
            "1 to 67108864",
        ),
        Upstream::Service(replica) if document.services.contains_key(&replica.service) => Ok(()),
        Upstream::Service(replica) => Err(ConfigError::UnknownService {
            service: replica.service.clone(),
            upstream: id.clone(),
        }),
    }
}

fn check_addresses(document: &Document) -> Result<(), ConfigError> {
    let mut owners: BTreeMap<SocketAddr, &UpstreamId> = BTreeMap::new();
    for (id, upstream) in &document.upstreams {
        if let Some(first) = owners.insert(upstream.address(), id) {
            return Err(ConfigError::DuplicateAddress {
                address: upstream.address(),
                first: first.clone(),
                second: id.clone(),
            });
        }
    }
    Ok(())
}
