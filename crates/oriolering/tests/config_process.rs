//! The settings of one process.

#![cfg(feature = "config")]

use oriolering::config::{LogLevel, ProcessSettings};
use rstest::rstest;

const FILE: &str = r#"{
  "id": "rack-1", // as in the platform's list
  "service": "rack",
  "zone": "huaraz",
  "region": "ancash",
  "ingress": "127.0.0.1:8080",
  "gate": "127.0.0.1:8081",
  "control": "127.0.0.1:8082",
  "backend": "127.0.0.1:9000",
  "platform": "127.0.0.1:7000",
}"#;

fn problems(text: &str, flags: &[(&str, &str)]) -> String {
    match ProcessSettings::parse_with_flags("process.jsonc", text, flags) {
        Ok(_) => "none".to_owned(),
        Err(problems) => problems.to_string(),
    }
}

#[test]
fn a_file_sets_what_has_no_default() {
    let settings = ProcessSettings::parse("process.jsonc", FILE).unwrap();
    assert_eq!(settings.id, "rack-1");
    assert_eq!(settings.zone, "huaraz");
    assert_eq!(settings.gate, "127.0.0.1:8081".parse().unwrap());
    assert!(settings.admin.ip().is_loopback());
    assert_eq!(settings.log, LogLevel::Info);
    assert_eq!((settings.drain_ms, settings.workers), (30_000, 1));
}

#[test]
fn flags_replace_fields() {
    let flags = [("gate", "[::1]:81"), ("log", "debug"), ("drain_ms", "500")];
    let settings = ProcessSettings::parse_with_flags("process.jsonc", FILE, &flags).unwrap();
    assert_eq!(settings.gate, "[::1]:81".parse().unwrap());
    assert_eq!(settings.log, LogLevel::Debug);
    assert_eq!(settings.drain_ms, 500);
}

#[test]
fn flags_alone_suffice() {
    let file = ProcessSettings::parse("process.jsonc", FILE).unwrap();
    let addresses = ["ingress", "gate", "control", "backend", "platform"];
    let ports = ["8080", "8081", "8082", "9000", "7000"];
    let addresses = addresses
        .into_iter()
        .zip(ports.map(|p| format!("127.0.0.1:{p}")));
    let addresses: Vec<(&str, String)> = addresses.collect();
    let mut flags = vec![
        ("id", "rack-1"),
        ("service", "rack"),
        ("zone", "huaraz"),
        ("region", "ancash"),
    ];
    flags.extend(addresses.iter().map(|(name, text)| (*name, text.as_str())));
    let settings = ProcessSettings::parse_with_flags("process.jsonc", "{}", &flags).unwrap();
    assert_eq!(settings, file);
}

#[test]
fn every_problem_is_reported() {
    let text = r#"{
  "id": "Rack 1",
  "service": "rack",
  "zone": 4,
  "ingress": "localhost:8080",
  "gate": "127.0.0.1",
  "contrl": "127.0.0.1:8082",
  "drain_ms": "30s",
  "log": "verbose"
}"#;
    let flags = [("workers", "many"), ("backend", "10.0.0.1:99999")];
    insta::assert_snapshot!(problems(text, &flags));
}

#[rstest]
#[case::same(
    ("gate", "127.0.0.1:8080"),
    "--gate: gate is 127.0.0.1:8080, but ingress has the same address; give each its own port"
)]
#[case::round(
    ("backend", "127.0.0.1:8081"),
    "--backend: backend is 127.0.0.1:8081, but gate has the same address; give each its own port"
)]
#[case::any(
    ("platform", "0.0.0.0:7000"),
    "--platform: platform is \"0.0.0.0:7000\"; write the IP number and port that it listens on"
)]
#[case::unknown(
    ("gaet", "127.0.0.1:1"),
    "--gaet: gaet is not a field; write gate, or remove it"
)]
fn addresses_are_checked(#[case] flag: (&str, &str), #[case] message: &str) {
    assert_eq!(problems(FILE, &[flag]), message);
}

#[test]
fn every_field_is_a_flag() {
    let names: Vec<String> = ProcessSettings::fields()
        .into_iter()
        .map(|f| f.path.to_string())
        .collect();
    let expected = [
        "admin", "backend", "control", "drain_ms", "gate", "id", "ingress", "log", "platform",
        "region", "service", "workers", "zone",
    ];
    assert_eq!(names, expected);
}

#[rstest]
#[case::rack(include_str!("../../../examples/rental/process/rack-1.jsonc"), "huaraz")]
#[case::avondgids(include_str!("../../../examples/supper/process/avondgids-1.jsonc"), "leuven")]
fn the_example_processes_are_valid(#[case] text: &str, #[case] zone: &str) {
    let settings = ProcessSettings::parse("process.jsonc", text).unwrap();
    assert_eq!(settings.zone, zone);
}
