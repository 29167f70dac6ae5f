//! Reading, merging and checking of sets.

#![cfg(feature = "config")]

use oriolering::config::{Bundle, MAX_BUNDLE_BYTES, SettingsSet};
use rstest::rstest;

fn bundle(base: &str, overlays: &[(&str, &str)]) -> Bundle {
    Bundle {
        base: base.to_owned(),
        overlays: overlays
            .iter()
            .map(|(site, text)| ((*site).into(), (*text).to_owned()))
            .collect(),
    }
}

fn problems(base: &str, overlays: &[(&str, &str)]) -> String {
    match SettingsSet::parse(&bundle(base, overlays)) {
        Ok(_) => "none".to_owned(),
        Err(problems) => problems.to_string(),
    }
}

/// Returns the problems of a base with one service `caja` that has these fields.
fn caja(fields: &str) -> String {
    problems(
        &format!("{{\"services\": {{\"caja\": {{{fields}}}}}}}"),
        &[],
    )
}

const BASE: &str = r#"{
  "defaults": { "queue": { "length": 30, "wait_ms": 50 } },
  "services": {
    "rack": { "idempotent": ["GET", "PUT"] },
    "caja": { "queue": { "length": 24 }, "customer_header": "x-guide" }
  }
}"#;

#[test]
fn services_keep_the_order_of_the_base() {
    let set = SettingsSet::parse(&bundle(BASE, &[])).unwrap();
    let settings = set.site("anywhere");
    let names: Vec<&str> = settings.services.iter().map(|s| s.name.as_str()).collect();
    assert_eq!(names, ["rack", "caja"]);
    let key = settings.service_key("caja").unwrap();
    assert_eq!(settings.service(key).name, "caja");
    assert_eq!(settings.service_key("bitacora"), None);
}

#[test]
fn objects_merge_by_key() {
    let yungay = r#"{"services": {"caja": {"queue": {"wait_ms": 70}}}}"#;
    let set = SettingsSet::parse(&bundle(BASE, &[("yungay", yungay)])).unwrap();
    let queue = set.site("yungay").services[1].queue;
    assert_eq!((queue.length, queue.wait_ms), (24, 70));
    let queue = set.site("huaraz").services[1].queue;
    assert_eq!((queue.length, queue.wait_ms), (24, 50));
}

#[test]
fn lists_are_replaced_as_a_whole() {
    let yungay = r#"{"services": {"rack": {"idempotent": ["HEAD"]}}}"#;
    let set = SettingsSet::parse(&bundle(BASE, &[("yungay", yungay)])).unwrap();
    let site = set.site("yungay");
    let rack = &site.services[0];
    assert!(rack.is_idempotent("HEAD"));
    assert!(!rack.is_idempotent("GET"));
    assert!(!rack.is_idempotent("POST"));
}

#[rstest]
#[case::field(r#"{"services": {"caja": {"queue": {"length": null}}}}"#, 30)]
#[case::group(r#"{"services": {"caja": {"queue": null}}}"#, 30)]
#[case::defaults(
    r#"{"defaults": null, "services": {"caja": {"queue": {"length": null}}}}"#,
    24
)]
fn null_in_an_overlay_resets(#[case] overlay: &str, #[case] length: u32) {
    let set = SettingsSet::parse(&bundle(BASE, &[("yungay", overlay)])).unwrap();
    assert_eq!(set.site("yungay").services[1].queue.length, length);
    assert_eq!(set.site("huaraz").services[1].queue.length, 24);
}

#[test]
fn defaults_of_an_overlay_yield_to_the_service() {
    let yungay = r#"{"defaults": {"queue": {"length": 5}}}"#;
    let set = SettingsSet::parse(&bundle(BASE, &[("yungay", yungay)])).unwrap();
    let lengths: Vec<u32> = set
        .site("yungay")
        .services
        .iter()
        .map(|s| s.queue.length)
        .collect();
    assert_eq!(lengths, [5, 24]);
}

#[rstest]
#[case::zero(r#""queue": {"length": 0}"#, "queue.length is 0; set it to at least 1")]
#[case::negative(
    r#""queue": {"length": -3}"#,
    "queue.length is -3; set it to at least 1"
)]
#[case::large(
    r#""queue": {"length": 10001}"#,
    "queue.length is 10001; set it to at most 10000"
)]
#[case::huge(
    r#""deadline_ms": 99999999999999999999999"#,
    "deadline_ms is 99999999999999999999999; set it to at most 600000"
)]
#[case::unit(
    r#""deadline_ms": "200ms""#,
    "deadline_ms is \"200ms\"; write 200, the number of ms without quotes or unit"
)]
#[case::seconds(
    r#""deadline_ms": "2 s""#,
    "deadline_ms is \"2 s\"; write 2000, the number of ms without quotes or unit"
)]
#[case::megabytes(
    r#""buffer": {"total_bytes": "1MiB"}"#,
    "buffer.total_bytes is \"1MiB\"; write 1048576, the number of bytes without quotes or unit"
)]
#[case::other_unit(
    r#""deadline_ms": "3 parsec""#,
    "deadline_ms is \"3 parsec\"; write a whole number of ms from 1 to 600000"
)]
#[case::fraction(
    r#""deadline_ms": 0.5"#,
    "deadline_ms is 0.5; write a whole number of ms from 1 to 600000"
)]
#[case::object(r#""slots": 12"#, "slots is 12; write an object in braces")]
#[case::list(
    r#""idempotent": "GET""#,
    "idempotent is \"GET\"; write a list in brackets"
)]
#[case::flag(
    r#""shed": {"not_run": "true"}"#,
    "shed.not_run is \"true\"; write true or false"
)]
#[case::method(
    r#""idempotent": ["GET", "get"]"#,
    "idempotent[1] is \"get\"; write GET (allowed are GET, HEAD, OPTIONS, PUT, DELETE, PATCH, POST)"
)]
#[case::policy(
    r#""choice": {"policy": "roundrobin"}"#,
    "choice.policy is \"roundrobin\"; write round-robin (allowed are adaptive, random, \
     round-robin, least-in-flight, two-choices)"
)]
#[case::header(
    r#""customer_header": "X-Club""#,
    "customer_header is \"X-Club\"; write a lower-case header name, such as x-customer"
)]
#[case::unknown(
    r#""deadline": 5"#,
    "deadline is not a field; write deadline_ms, or remove it"
)]
#[case::unknown_nested(
    r#""queue": {"lenght": 5}"#,
    "queue.lenght is not a field; write length, or remove it"
)]
#[case::far(r#""zebra": 5"#, "zebra is not a field; remove it")]
#[case::null(
    r#""ramp_ms": null"#,
    "ramp_ms is null; remove the field to take its default"
)]
#[case::slots(
    r#""slots": {"initial": 12, "min": 14}"#,
    "slots.min is 14, above slots.max, which is 12; lower it or raise slots.max"
)]
#[case::connections(
    r#""connections": 8"#,
    "connections is 8, below slots.max, which is 12; raise it or lower slots.max"
)]
#[case::wait(
    r#""deadline_ms": 600, "queue": {"wait_ms": 900}"#,
    "queue.wait_ms is 900, above deadline_ms, which is 600; lower it or raise deadline_ms"
)]
#[case::hedge(
    r#""idempotent": [], "hedge": {"after_ms": 50}"#,
    "hedge.after_ms is 50, but idempotent names no method; name the methods that may run twice, \
     or set it to 0"
)]
#[case::budget(
    r#""measure": {"budget_ms": 5}"#,
    "measure.budget_ms is 5, below measure.probe_ms, which is 6; raise it or lower measure.probe_ms"
)]
#[case::poll(
    r#""measure": {"poll_ms": 20}"#,
    "measure.poll_ms is 20, but one gate would spend 300 ms per second, above measure.budget_ms, \
     which is 200; poll less often or raise the budget"
)]
#[case::buffer(
    r#""buffer": {"answer_bytes": 2000, "total_bytes": 1000}"#,
    "buffer.answer_bytes is 2000, above buffer.total_bytes, which is 1000; lower it or raise \
     buffer.total_bytes"
)]
fn a_fault_names_its_remedy(#[case] fields: &str, #[case] message: &str) {
    let found = caja(fields);
    let wanted = format!("services.caja.{message}");
    assert!(
        found.lines().any(|line| line.ends_with(&wanted)),
        "wanted {wanted}\nfound  {found}"
    );
}

#[test]
fn measuring_can_be_turned_off() {
    assert_eq!(caja(r#""measure": {"budget_ms": 0}"#), "none");
}

#[test]
fn every_problem_of_every_file_is_reported() {
    let base = r#"{
  "services": {
    "rack": { "dealine_ms": 100 },
    "caja": { "queue": { "length": 0 }, "slots": { "min": 20 } },
    "caja": {}
  },
}"#;
    let yungay = r#"{
  // caja is short of space
  "services": {
    "rack": { "slots": { "max": 1 } },
    "cajas": { "queue": { "length": 12 } }
  }
}"#;
    let huaraz = "{ \"services\": { \"rack\" }";
    let found = problems(base, &[("yungay", yungay), ("huaraz", huaraz)]);
    insta::assert_snapshot!(found);
}

#[test]
fn the_overlay_is_blamed_for_a_broken_rule() {
    let base = r#"{"services": {"caja": {"slots": {"initial": 4, "min": 4, "max": 8}}}}"#;
    let low = r#"{"services": {"caja": {"slots": {"max": 3}}}}"#;
    let high = r#"{"services": {"caja": {"slots": {"min": 5}}}}"#;
    let found = problems(base, &[("huaraz", low), ("yungay", high)]);
    insta::assert_snapshot!(found);
}

#[rstest]
#[case::empty("", "base.jsonc: the file cannot be read")]
#[case::comment("// nothing", "base.jsonc: the file cannot be read")]
#[case::list("[]", "base.jsonc:1:1: the file is a list; write an object in braces")]
#[case::missing("{}", "base.jsonc: services is missing; add it")]
#[case::none(
    r#"{"services": {}}"#,
    "base.jsonc:1:14: services is a list of 0 services"
)]
#[case::name(
    r#"{"services": {"Caja": {}}}"#,
    "base.jsonc:1:15: services.Caja is \"Caja\""
)]
#[case::two("{} {}", "base.jsonc:1:4: the file cannot be read")]
#[case::single(
    "{'services': {}}",
    "base.jsonc:1:2: the file cannot be read (Single-quoted"
)]
fn a_file_is_refused_as_a_whole(#[case] base: &str, #[case] start: &str) {
    let found = problems(base, &[]);
    assert!(found.starts_with(start), "{found}");
}

#[rstest]
#[case::service(
    r#"{"services": {"caja": null}}"#,
    "overlays/yungay.jsonc:1:15: services.caja is null; write an object of the fields to change, \
     or remove the name"
)]
#[case::services(
    r#"{"services": null}"#,
    "overlays/yungay.jsonc:1:14: services is null; leave it out to keep what the base sets"
)]
fn null_cannot_remove_a_service(#[case] overlay: &str, #[case] message: &str) {
    assert_eq!(problems(BASE, &[("yungay", overlay)]), message);
}

#[test]
fn columns_count_characters() {
    let base = "{\"services\": {/* añadir, 🦅 */ \"caja\": {\"ramp\": 1}}}";
    let found = problems(base, &[]);
    assert!(
        found.starts_with("base.jsonc:1:40: services.caja.ramp "),
        "{found}"
    );
}

#[rstest]
#[case::shallow(17, "is nested deeper than 16 levels")]
#[case::deep(300, "is nested deeper than 16 levels")]
#[case::abyss(100_000, "Maximum nesting depth exceeded")]
fn deep_nesting_is_refused(#[case] depth: usize, #[case] message: &str) {
    let base = "[".repeat(depth) + &"]".repeat(depth);
    let found = problems(&base, &[]);
    assert!(found.contains(message), "{found}");
}

#[test]
fn an_oversized_set_is_refused() {
    let spaces = " ".repeat(MAX_BUNDLE_BYTES);
    let found = problems(BASE, &[("yungay", &spaces)]);
    assert!(found.starts_with("bundle: the file has 100"), "{found}");
    assert!(found.ends_with("shorten it to at most 1000000"), "{found}");
    assert!(Bundle::parse(&spaces).is_err());
}

#[rstest]
#[case::services(
    501,
    0,
    "base.jsonc:1:14: services is a list of 501 services; set it to at most 500"
)]
#[case::sites(1, 65, "bundle: overlays is a list of 65 sites; set it to at most 64")]
#[case::most(500, 64, "none")]
fn the_size_of_a_set_is_limited(#[case] services: u32, #[case] sites: u32, #[case] message: &str) {
    let services: Vec<String> = (0..services).map(|i| format!("\"s{i}\": {{}}")).collect();
    let base = format!("{{\"services\": {{{}}}}}", services.join(","));
    let sites: Vec<String> = (0..sites).map(|i| format!("z{i}")).collect();
    let overlays: Vec<(&str, &str)> = sites.iter().map(|site| (site.as_str(), "{}")).collect();
    assert_eq!(problems(&base, &overlays), message);
}

#[test]
fn problems_are_bounded() {
    let fields: Vec<String> = (0..60_000).map(|i| format!("\"f{i}\":1")).collect();
    let result = SettingsSet::parse(&bundle(&format!("{{{}}}", fields.join(",")), &[]));
    assert_eq!(result.unwrap_err().len(), 1_000);
}

#[test]
fn a_bundle_survives_publishing() {
    let sent = bundle(BASE, &[("yungay", "{} // \"quoted\"\n"), ("huaraz", "{}")]);
    let received = Bundle::parse(&sent.to_json()).unwrap();
    assert_eq!(received, sent);
}

#[rstest]
#[case::text("nonsense", "bundle:1:1: the file cannot be read (Unexpected word)")]
#[case::base(r#"{"overlays": {}}"#, "bundle: base is missing; add it")]
#[case::field(
    r#"{"base": "", "overlay": {}}"#,
    "bundle:1:14: overlay is not a field; write overlays"
)]
#[case::twice(
    r#"{"base": "", "overlays": {"a": "", "a": ""}}"#,
    "bundle:1:36: overlays.a is set twice"
)]
fn a_value_that_is_no_bundle_is_refused(#[case] text: &str, #[case] start: &str) {
    let found = Bundle::parse(text).unwrap_err().to_string();
    assert!(found.starts_with(start), "{found}");
}

#[rstest]
#[case::huaraz(include_str!("../../../examples/rental/base.jsonc"), &["rack", "caja", "bitacora"])]
#[case::leuven(
    include_str!("../../../examples/supper/base.jsonc"),
    &["avondgids", "plaatsboek", "menukast"]
)]
fn the_example_bases_are_valid(#[case] base: &str, #[case] services: &[&str]) {
    let set = SettingsSet::parse(&bundle(base, &[])).unwrap();
    let settings = set.base();
    let names: Vec<&str> = settings.services.iter().map(|s| s.name.as_str()).collect();
    assert_eq!(names, services);
    for service in &settings.services {
        assert_eq!((service.slots.initial, service.connections), (12, 240));
        assert_eq!(
            (service.measure.probe_ms, service.measure.connect_ms),
            (6, 1)
        );
        assert!(!service.is_idempotent("POST"), "{}", service.name);
        assert!(!service.shed.not_run, "{}", service.name);
    }
}

#[test]
fn every_field_is_described_and_limited() {
    let fields = [
        SettingsSet::service_fields(),
        SettingsSet::route_fields(),
        SettingsSet::caller_fields(),
    ];
    for field in fields.concat() {
        assert!(!field.description.is_empty(), "{}", field.path);
        let is_required = ["host", "prefix", "kind", "split"].contains(&field.path.as_str());
        assert_eq!(field.default.is_empty(), is_required, "{}", field.path);
        assert_ne!(field.limits, "a text", "{}", field.path);
        assert_eq!(
            ["whole number", "object"].contains(&field.kind),
            !field.unit.is_empty(),
            "{}",
            field.path
        );
    }
}
