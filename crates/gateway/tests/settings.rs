//! Invalid settings are rejected with an error that names the key.

use gateway::GatewaySettings;
use serde_json::{Value, json};

fn check_with(section: &str, key: &str, value: Value) -> anyhow::Result<()> {
    let mut settings = json!({
        "instance": "router-1",
        "failure_domain": "a",
        "listen": {
            "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "addresses": "127.0.0.1:3",
            "peers": "127.0.0.1:4", "beats": "127.0.0.1:5",
        },
        "seeds": [],
        "source": "127.0.0.1:6",
    });
    settings[section] = json!({ key: value });
    let settings: GatewaySettings = serde_json::from_value(settings)?;
    settings.check()
}

#[test]
fn usual_values_are_accepted() {
    check_with("choice", "most_homes", json!(2)).unwrap();
    // The two baselines: selection by load only, and by home target only.
    check_with("choice", "home_until", json!(0.0)).unwrap();
    check_with("choice", "home_until", json!(1000.0)).unwrap();
    check_with("bounds", "cold_overage", json!(1.5)).unwrap();
}

#[test]
fn invalid_values_are_named_with_their_key() {
    let invalid = [
        ("bounds", "stop_s", json!(0.0)),
        ("bounds", "repeat_ratio", json!(-0.1)),
        ("bounds", "cold_overage", json!(-1.0)),
        ("bounds", "cold_slack", json!(-1.0)),
        ("admission", "headroom", json!(0.0)),
        ("admission", "return_share", json!(-1.0)),
        ("choice", "most_homes", json!(0)),
        ("choice", "kept_at", json!([0.9, 1.1])),
        ("choice", "queue_share", json!(0.0)),
        ("choice", "overhead_ms", json!(-5.0)),
        ("resources", "descriptors", json!(0)),
        ("resources", "descriptors", json!(300)),
        ("resources", "memory_mb", json!(0)),
        ("resources", "memory_mb", json!(20)),
    ];
    for (section, key, value) in invalid {
        let cause = check_with(section, key, value).expect_err(key).to_string();
        assert!(cause.contains(&format!("{section}.{key}")), "{cause}");
    }
}

/// Guards against a mistyped mode that is taken for another one.
#[test]
fn placement_has_three_modes() {
    for mode in ["auto", "ledger", "local"] {
        check_with("choice", "placement", json!(mode)).unwrap();
    }
    assert!(check_with("choice", "placement", json!("owner")).is_err());
}

#[test]
fn unknown_keys_are_refused() {
    assert!(check_with("choice", "home", json!(1)).is_err());
}
