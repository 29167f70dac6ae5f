//! Differences between sets by their effect.

#![cfg(feature = "config")]

use oriolering::config::{Bundle, SettingsSet, diff};

const OLD: &str = r#"{
  "services": {
    "rack": { "deadline_ms": 1500, "customer_header": "x-guide" },
    "caja": { "queue": { "length": 24 } },
    "bitacora": {}
  }
}"#;

fn set(base: &str, overlays: &[(&str, &str)]) -> SettingsSet {
    let overlays = overlays
        .iter()
        .map(|(site, text)| ((*site).into(), (*text).to_owned()))
        .collect();
    let base = base.to_owned();
    SettingsSet::parse(&Bundle { base, overlays }).unwrap()
}

fn lines(old: &SettingsSet, new: &SettingsSet) -> String {
    let lines: Vec<String> = diff(old, new).iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_change_at_one_site_names_it() {
    let old = set(OLD, &[("huaraz", "{}"), ("yungay", "{}")]);
    let yungay = r#"{"services": {"caja": {"queue": {"length": 12}}}}"#;
    let new = set(OLD, &[("huaraz", "{}"), ("yungay", yungay)]);
    assert_eq!(
        lines(&old, &new),
        "in Yungay, caja's queue falls from 24 to 12"
    );
}

#[test]
fn texts_without_effect_give_no_change() {
    let old = set(OLD, &[]);
    let same = OLD
        .replace("24", "24 /* as before */")
        .replace("1500", "1500, \"ramp_ms\": 10000");
    let yungay = r#"{"services": {"caja": {"queue": {"length": 24}}}}"#;
    let new = set(&same, &[("yungay", yungay)]);
    assert_eq!(lines(&old, &new), "");
}

#[test]
fn changes_are_grouped_by_sites() {
    let pinned = r#"{"services": {"rack": {"deadline_ms": 900}}}"#;
    let old = set(
        OLD,
        &[("huaraz", "{}"), ("caraz", pinned), ("yungay", pinned)],
    );
    let base = r#"{
  "services": {
    "rack": { "deadline_ms": 2000, "idempotent": ["GET"], "shed": { "not_run": true } },
    "caja": { "queue": { "length": 24 }, "choice": { "policy": "random" } },
    "casillero": {}
  }
}"#;
    let new = set(
        base,
        &[("huaraz", "{}"), ("caraz", pinned), ("yungay", pinned)],
    );
    insta::assert_snapshot!(lines(&old, &new));
}
