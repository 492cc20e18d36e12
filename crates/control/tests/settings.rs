//! Settings files: all errors are reported together, each with its place.

use control::Settings;
use rstest::rstest;

const GOOD: &str = r#"{
    // A node.
    "node": {"name": "edge-1", "data_centre": "gyor", "region": "dunantul"},
    "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "metrics": "10.0.0.1:82"},
    "store": {"address": "10.0.0.9:80", "shortest_lease_ms": 1000},
    "orders": "rpc", "advice": "",
    "bounds": {"stop_grace_ms": 400,},
}"#;

#[test]
fn parse_good_settings() {
    let settings = Settings::parse("boot.json", GOOD).unwrap();
    assert_eq!(
        (
            settings.name.as_str(),
            settings.bounds.stop_grace_ms,
            settings.advice
        ),
        ("edge-1", 400, None)
    );
}

#[rstest]
#[case::orders_by_heartbeat("\"rpc\"", "\"heartbeat\"", "boot.json: orders: \"heartbeat\"")]
#[case::no_name("\"edge-1\"", "\"\"", "boot.json: node.name: is missing")]
#[case::bad_address("10.0.0.9:80", "store", "boot.json: store.address: \"store\"")]
#[case::processor(
    "\"edge-1\"",
    "\"edge-1\", \"processor_cores\": -1",
    "boot.json: node.processor_cores: -1"
)]
#[case::memory(
    "\"orders\"",
    "\"limits\": {\"memory_mb\": 8}, \"orders\"",
    "boot.json: limits.memory_mb: 8"
)]
#[case::max_fds(
    "\"orders\"",
    "\"limits\": {\"max_fds\": 200}, \"orders\"",
    "boot.json: limits.max_fds: 200"
)]
#[case::head_bytes(
    "\"orders\"",
    "\"limits\": {\"head_bytes\": 0}, \"orders\"",
    "boot.json: limits.head_bytes: 0"
)]
#[case::head_ms(
    "\"orders\"",
    "\"limits\": {\"head_ms\": 0}, \"orders\"",
    "boot.json: limits.head_ms: 0"
)]
#[case::body_ms(
    "\"orders\"",
    "\"limits\": {\"body_ms\": 1}, \"orders\"",
    "boot.json: limits.body_ms: 1"
)]
#[case::not_json("\"orders\"", "orders", "boot.json: line")]
fn parse_bad_settings(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let findings = Settings::parse("boot.json", &GOOD.replace(from, to)).unwrap_err();
    assert!(
        findings.iter().any(|f| f.to_string().starts_with(expected)),
        "{findings:?}"
    );
}

#[test]
fn parse_reports_all_findings_together() {
    let bad = GOOD
        .replace("10.0.0.1:80", "x")
        .replace("10.0.0.9:80", "y")
        .replace("\"rpc\"", "\"z\"");
    assert_eq!(Settings::parse("boot.json", &bad).unwrap_err().len(), 3);
}
