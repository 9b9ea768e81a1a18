//! Tests of the settings template, with placeholders replaced as an installation does.

#![allow(clippy::unwrap_used, missing_docs)]

use config::Settings;

const TEMPLATE: &str = include_str!("../../../deploy/host.toml.template");

/// Values for the placeholders. The numeric bounds have fractions.
const TEMPLATE_VALUES: &[(&str, &str)] = &[
    ("bootstrap|json", "true"),
    ("bounds.budget-extra", "33.1578947368421"),
    ("bounds.budget-window-s", "10.5"),
    ("bounds.config-apply-ms", "2000.75"),
    ("bounds.grace-s", "8.25"),
    ("bounds.lease-ms", "3000.2"),
    ("bounds.retry-budget-ratio", "0.2"),
    ("bounds.revoke-ms", "5000.9"),
    ("bounds.usage-late-s", "10.5"),
    ("bounds.usage-window-s", "5.5"),
    ("cloud-api.address", "10.200.1.8:80"),
    ("ip", "10.1.0.40"),
    ("limits.max-fds", "4100.5"),
    ("listen.front", "10.1.0.40:8227"),
    ("listen.ready-address", "10.1.0.40:8220"),
    ("node-name", "front-1"),
    ("platform.address", "10.200.1.7:8223"),
    ("port-range.0", "7340"),
    ("port-range.1", "7341"),
    ("zone", "hall-a"),
];

/// Replaces the placeholders. Each section of the template is rendered once.
fn fill(template: &str) -> String {
    let list = ["{{#cloud-api.duties}}", "{{/cloud-api.duties}}"];
    let text = template.replace(
        &format!("{}\"{{{{.}}}}\"{{{{,}}}}{}", list[0], list[1]),
        "\"usage_report\"",
    );
    let text = text
        .replace("{{#cloud-api.address}}", "")
        .replace("{{/cloud-api.address}}", "");
    TEMPLATE_VALUES.iter().fold(text, |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    })
}

/// Guards against a host that fails to start because the installation's bounds aren't integers.
#[test]
fn fractional_bounds_are_rounded_to_the_strict_side() {
    let settings = Settings::from_toml(&fill(TEMPLATE)).unwrap();
    assert_eq!(settings.limits.max_descriptors, 4_100);
    let relay = toml::to_string(&settings.relay).unwrap();
    assert_eq!(
        relay,
        r#"apply_limit_ms = 2000
drain_limit_s = 8.25
first_start = true
key_knowledge_limit_ms = 5000
retry_extra = 33
retry_ratio = 0.2
retry_window_s = 10.5

[duties]
address = "10.200.1.8:80"
kinds = ["usage_report"]
lease_ms = 3001
usage_late_s = 10.5
usage_window_s = 5.5
"#
    );
}

#[test]
fn out_of_range_settings_are_rejected() {
    for (from, to) in [
        ("= 33.15", "= -1.5"),
        ("= 10.5\n", "= 0.0\n"),
        ("= 8.25", "= nan"),
    ] {
        let text = fill(TEMPLATE);
        assert!(text.contains(from), "{from}");
        assert!(
            Settings::from_toml(&text.replace(from, to)).is_err(),
            "{to}"
        );
    }
}
