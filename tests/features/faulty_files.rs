//! Faulty settings and configurations are rejected without a panic, and the error lists
//! all their faults.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::Value;
use turmericfold_config::{Configuration, Settings};
use turmericfold_tests::{desai_configuration, workspace_root};

const FIVE_FAULTS: &str = "\
process:
  name: entry 1
  failure_domain: ahmedabad
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8080
  operator: 127.0.0.1:8082
platform:
  store: https://127.0.0.1:9000
limits:
  shutdown_ms: '15'
";

#[test]
fn five_faults() {
    let faults = Settings::parse("entry.yaml", FIVE_FAULTS).unwrap_err();
    let lines: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(lines[0].starts_with("entry.yaml:2:9: process.name: not allowed, found `entry 1`"));
    assert!(
        lines
            .iter()
            .any(|line| line.contains("did you mean `operators`?"))
    );
    assert!(
        lines
            .iter()
            .any(|line| line.contains("the same address as listen.callers"))
    );
    assert!(
        lines
            .iter()
            .any(|line| line.contains("platform.instances: missing"))
    );
    assert!(
        lines
            .iter()
            .any(|line| line.contains("write it without quotes"))
    );
}

#[rstest]
#[case("urgency: urgent", "urgency: urgnt", "did you mean `urgent`?")]
#[case("profile: counter", "profile: conter", "unknown profile `conter`")]
#[case(
    "guaranteed_permille: 400",
    "guaranteed_permille: 900",
    "adds up to 1400"
)]
#[case("  rounds:", "  counter:", "`counter` appears twice")]
#[case("queue_requests: 2000", "queue_requests: -1", "must be a whole number")]
#[case("queue_requests: 2000", "queue_requests: 99999999", "out of range")]
#[case("teams:", "team:", "did you mean `teams`?")]
#[case("fleet:", "fleet: *other", "not YAML")]
fn faulty_configuration(#[case] original: &str, #[case] faulty: &str, #[case] message: &str) {
    let path = workspace_root().join("examples/desai.yaml");
    let text = std::fs::read_to_string(path).unwrap();
    let text = text.replacen(original, faulty, 1);
    let faults = Configuration::parse("desai.yaml", &text).unwrap_err();
    assert!(faults.to_string().contains(message), "{faults}");
}

#[test]
fn known_fields() {
    let schema = Configuration::json_schema();
    let value = serde_json::to_value(desai_configuration()).unwrap();
    assert_covered(&value, &schema, "");
}

#[test]
fn known_settings() {
    let text = FIVE_FAULTS
        .replace("entry 1", "entry-1")
        .replace("operator:", "operators:")
        .replace("127.0.0.1:8080\n  op", "127.0.0.1:8081\n  op")
        .replace(
            "https://127.0.0.1:9000",
            "http://127.0.0.1:9000\n  instances: http://127.0.0.1:9000",
        )
        .replace("'15'", "15000");
    let settings = Settings::parse("entry.yaml", &text).unwrap();
    let value = serde_json::to_value(&settings).unwrap();
    assert_covered(&value, &Settings::json_schema(), "");
    let written = serde_json::to_string(&settings).unwrap();
    assert_eq!(Settings::parse("entry.json", &written).unwrap(), settings);
}

/// Panics if `value` has a field, at any depth, that is not in the schema.
fn assert_covered(value: &Value, schema: &Value, path: &str) {
    let Value::Object(fields) = value else { return };
    for (name, value) in fields.iter().filter(|(name, _)| *name != "revision") {
        let known = schema["properties"].get(name);
        let known = known.or_else(|| Some(&schema["additionalProperties"]));
        let known = known.filter(|known| known.is_object());
        let known = known.unwrap_or_else(|| panic!("{path}.{name} is not in the schema"));
        assert_covered(value, known, &format!("{path}.{name}"));
    }
}

#[test]
fn read_file() {
    let directory = std::env::temp_dir().join(format!("turmericfold-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("entry.yaml");
    std::fs::write(&file, FIVE_FAULTS).unwrap();
    assert_eq!(Settings::read(&file).unwrap_err().0.len(), 7);
    std::fs::remove_dir_all(&directory).unwrap();
}

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text(text in "(?s).{0,200}") {
        let _ = Configuration::parse("any.yaml", &text);
        let _ = Settings::parse("any.yaml", &text);
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Configuration::parse("any.yaml", &text);
    }

    #[test]
    fn yaml_like(parts in proptest::collection::vec(
        prop::sample::select(vec![
            "profiles", "services", "fleet", ":", ": ", "\n", "  ", "- ", "[", "]", "{", "}",
            "&a", "*a", "!t", "|", ">", "'", "\"", "#", "---", "...", "9", "true", "~", ",", "?", "\t",
        ]), 0..60)) {
        let _ = Configuration::parse("any.yaml", &parts.concat());
    }

    #[test]
    fn changed_example(at in 0usize..1_500, replacement in any::<char>()) {
        let path = workspace_root().join("examples/desai.yaml");
        let mut text: Vec<char> = std::fs::read_to_string(path).unwrap().chars().collect();
        let at = at % text.len();
        text[at] = replacement;
        let text: String = text.into_iter().collect();
        let _ = Configuration::parse("any.yaml", &text);
    }
}
