//! Routes and caller limits in settings sets.

#![cfg(feature = "config")]

use oriolering::config::{Bundle, SettingsSet, diff, find_route};
use oriolering::{CallerLimits, Route, RouteKind};
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

fn set(base: &str, overlays: &[(&str, &str)]) -> SettingsSet {
    SettingsSet::parse(&bundle(base, overlays)).unwrap_or_else(|problems| panic!("{problems}"))
}

fn problems(base: &str, overlays: &[(&str, &str)]) -> String {
    match SettingsSet::parse(&bundle(base, overlays)) {
        Ok(_) => "none".to_owned(),
        Err(problems) => problems.to_string(),
    }
}

/// Returns a base with these routes, on one line.
fn base(routes: &str) -> String {
    format!("{{\"services\": {{\"rack\": {{}}, \"caja\": {{}}}}, \"routes\": {{{routes}}}}}")
}

/// Returns a route `stock` with these fields in addition to the required ones.
fn stock_route(fields: &str) -> String {
    format!(
        "\"stock\": {{\"host\": \"h\", \"prefix\": \"/stock/\", \"kind\": \"idempotent\", \
         \"split\": {{\"rack\": 1}}{fields}}}"
    )
}

/// Returns the problems of a base with a route `stock` in which `from` is replaced by `to`.
fn problems_after_replacing(from: &str, to: &str) -> String {
    let routes = stock_route("");
    assert!(routes.contains(from), "{from}");
    problems(&base(&routes.replace(from, to)), &[])
}

const BASE: &str = r#"{
  "services": { "rack": { "connections": 99, "measure": { "health_path": "/up" } }, "caja": {} },
  "routes": {
    "all": { "host": "h.example", "prefix": "/", "kind": "idempotent", "split": { "rack": 1 } },
    "stock": {
      "host": "h.example",
      "prefix": "/stock/",
      "kind": "idempotent",
      "split": { "rack": 9, "caja": 1 },
      "timeout_ms": 900,
      "aim_ms": 80,
      "attempts": 2,
      "priority": 1
    },
    "photos": { "host": "h.example", "prefix": "/photos/", "kind": "upload", "split": { "caja": 1 } }
  },
  "callers": { "body_bytes": 5000 }
}"#;

fn route<'a>(routes: &'a [Route], name: &str) -> &'a Route {
    let found = routes.iter().find(|r| r.name == name);
    found.unwrap_or_else(|| panic!("{name} is a route"))
}

#[test]
fn a_set_builds_the_routing_table() {
    let table = set(BASE, &[]).site("anywhere").route_table(7);
    assert_eq!(table.version(), 7);
    let (_, stock) = table.find("H.example:80", "/stock/1?a=b").unwrap();
    assert_eq!(stock.name, "stock");
    assert_eq!(stock.kind, RouteKind::Idempotent);
    assert_eq!((stock.timeout_ms, stock.aim_ms), (900, 80));
    assert_eq!((stock.attempts, stock.priority), (2, 1));
    let parts: Vec<(&str, u32)> = stock
        .parts
        .iter()
        .map(|p| (p.service.as_str(), p.weight))
        .collect();
    assert_eq!(parts, [("caja", 1), ("rack", 9)]);
    let rack = table.service("rack").unwrap();
    assert_eq!((rack.health_path.as_str(), rack.connections), ("/up", 99));
    assert_eq!(
        table.limits(),
        CallerLimits {
            body_bytes: 5_000,
            ..CallerLimits::default()
        }
    );
}

#[test]
fn unset_fields_have_their_defaults() {
    let set = set(BASE, &[]);
    let photos = route(&set.base().routes, "photos").clone();
    assert_eq!((photos.timeout_ms, photos.aim_ms), (2_000, 200));
    assert_eq!((photos.attempts, photos.priority), (3, 0));
}

#[test]
fn an_overlay_changes_only_its_fields() {
    let yungay = r#"{
      "routes": {
        "stock": { "split": { "caja": null }, "timeout_ms": 700 },
        "photos": { "split": { "rack": 3 } },
        "all": { "attempts": null }
      },
      "callers": { "idle_ms": 10 }
    }"#;
    let site = set(BASE, &[("yungay", yungay)]).site("yungay");
    let stock = route(&site.routes, "stock");
    assert_eq!(
        (stock.parts.len(), stock.timeout_ms, stock.aim_ms),
        (1, 700, 80)
    );
    assert_eq!(route(&site.routes, "photos").parts.len(), 2);
    assert_eq!((site.callers.idle_ms, site.callers.body_bytes), (10, 5_000));
}

#[test]
fn a_set_without_routes_has_none() {
    let set = set(r#"{"services": {"rack": {}}}"#, &[]);
    assert!(set.base().routes.is_empty());
    assert_eq!(set.base().callers, CallerLimits::default());
}

#[rstest]
#[case::none("\"h\"", "\"h\"", "none")]
#[case::no_slash_at_the_end(
    "/stock/",
    "/stock",
    "routes.stock.prefix is \"/stock\"; write a prefix that begins and ends with a slash, such as \
     /stock/"
)]
#[case::no_slash_at_the_start(
    "/stock/",
    "stock/",
    "routes.stock.prefix is \"stock/\"; write a prefix that begins and ends with a slash, such as \
     /stock/"
)]
#[case::query(
    "/stock/",
    "/stock/?a/",
    "routes.stock.prefix is \"/stock/?a/\"; write a prefix that begins and ends with a slash, \
     such as /stock/"
)]
#[case::port(
    "\"h\"",
    "\"h:80\"",
    "routes.stock.host is \"h:80\"; write a lower-case host without a port, such as shop.example"
)]
#[case::upper_case(
    "\"h\"",
    "\"H\"",
    "routes.stock.host is \"H\"; write a lower-case host without a port, such as shop.example"
)]
#[case::kind(
    "\"idempotent\"",
    "\"idempotend\"",
    "routes.stock.kind is \"idempotend\"; write idempotent (allowed are idempotent, \
     non-idempotent, upload, download)"
)]
#[case::missing_host("\"host\": \"h\", ", "", "routes.stock.host is missing; add it")]
#[case::missing_split(
    ", \"split\": {\"rack\": 1}",
    "",
    "routes.stock.split is missing; add it"
)]
#[case::empty_split(
    "{\"rack\": 1}",
    "{}",
    "routes.stock.split is empty; name a service and its weight, such as \"rack\": 1"
)]
#[case::zero_weight(
    "\"rack\": 1",
    "\"rack\": 0",
    "routes.stock.split.rack is 0; set it to at least 1"
)]
#[case::missing_weight(
    "\"rack\": 1",
    "\"rack\": null",
    "routes.stock.split.rack is null; write a number, or remove the name"
)]
#[case::list_of_services(
    "{\"rack\": 1}",
    "[\"rack\"]",
    "routes.stock.split is a list; write an object in braces"
)]
#[case::unknown_service(
    "\"rack\": 1",
    "\"rak\": 1",
    "routes.stock.split.rak is not a service of the base; write rack, or add it to the base file \
     or remove it here"
)]
#[case::not_an_object(
    &stock_route("")[9..],
    "1",
    "routes.stock is 1; write an object in braces"
)]
fn a_wrong_field_is_reported_with_its_remedy(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let found = problems_after_replacing(from, to);
    let text = match found.split_once(": ") {
        Some((_, text)) => text,
        None => &found,
    };
    assert_eq!(text, message);
}

#[rstest]
#[case::attempts("\"attempts\": 0", "routes.stock.attempts is 0; set it to at least 1")]
#[case::priority(
    "\"priority\": 256",
    "routes.stock.priority is 256; set it to at most 255"
)]
#[case::unit(
    "\"timeout_ms\": \"2s\"",
    "routes.stock.timeout_ms is \"2s\"; write 2000, the number of ms without quotes or unit"
)]
#[case::target_above_the_timeout(
    "\"timeout_ms\": 100, \"aim_ms\": 101",
    "routes.stock.aim_ms is 101, above timeout_ms, which is 100; lower it or raise timeout_ms"
)]
#[case::timeout_below_the_default_target(
    "\"timeout_ms\": 100",
    "routes.stock.timeout_ms is 100, below aim_ms, which is 200; raise it or lower aim_ms"
)]
#[case::marked_idempotent(
    "\"idempotent\": true",
    "routes.stock.idempotent is not a field of a route; remove it; only the kind of a route \
     determines whether its requests may be repeated, and only idempotent allows it"
)]
#[case::unknown(
    "\"timeout\": 5",
    "routes.stock.timeout is not a field; write timeout_ms, or remove it"
)]
fn an_invalid_setting_is_reported_with_its_remedy(#[case] field: &str, #[case] message: &str) {
    let found = problems(&base(&stock_route(&format!(", {field}"))), &[]);
    let text = found.split_once(": ").map(|(_, text)| text);
    assert_eq!(text, Some(message));
}

#[rstest]
#[case::idempotent("idempotent")]
#[case::repeatable("repeatable")]
#[case::hedge("hedge")]
fn an_upload_cannot_be_marked_repeatable(#[case] field: &str) {
    let fields = format!(", \"{field}\": true");
    let upload = stock_route(&fields).replace("\"idempotent\", ", "\"upload\", ");
    let found = problems(&base(&upload), &[]);
    assert!(
        found.contains("only the kind of a route determines whether its requests may be repeated"),
        "{found}"
    );
    assert_eq!(found.lines().count(), 1);
}

#[rstest]
#[case::header(
    "\"header_bytes\": 10",
    "callers.header_bytes is 10; set it to at least 256"
)]
#[case::time("\"header_ms\": 0", "callers.header_ms is 0; set it to at least 1")]
#[case::unknown(
    "\"headers\": 1",
    "callers.headers is not a field; write header_ms, or remove it"
)]
fn caller_limits_are_checked(#[case] field: &str, #[case] message: &str) {
    let text = format!("{{\"services\": {{\"rack\": {{}}}}, \"callers\": {{{field}}}}}");
    let found = problems(&text, &[]);
    assert_eq!(found.split_once(": ").map(|(_, text)| text), Some(message));
}

#[test]
fn two_routes_cannot_have_the_same_host_and_prefix() {
    let two = [
        stock_route(""),
        stock_route("").replace("\"stock\"", "\"again\""),
    ]
    .join(",\n");
    assert_eq!(
        problems(&base(&two), &[("yungay", "{}")]),
        "base.jsonc:2:34: routes.again.prefix is /stock/, but stock has the same prefix for the \
         host h; change the host or prefix of one of them, or remove one from the base"
    );
}

/// The problem is reported for the overlay, whichever of the two routes comes first.
#[rstest]
#[case("stock", "/again/", "again")]
#[case("again", "/stock/", "stock")]
fn an_overlay_that_makes_two_routes_equal_is_reported(
    #[case] name: &str,
    #[case] prefix: &str,
    #[case] other: &str,
) {
    let second = stock_route("").replace("stock", "again");
    let two = base(&[stock_route(""), second].join(","));
    let overlay = format!("{{\"routes\": {{\"{name}\": {{\"prefix\": \"{prefix}\"}}}}}}");
    assert_eq!(
        problems(&two, &[("yungay", &overlay)]),
        format!(
            "overlays/yungay.jsonc:1:33: routes.{name}.prefix is {prefix}, but {other} has the \
             same prefix for the host h; change the host or prefix of one of them, or remove one from the base"
        )
    );
}

#[rstest]
#[case::unknown(
    r#"{"routes": {"stok": {}}}"#,
    "routes.stok is not a route of the base; write stock, or add it to the base file or remove it \
     here"
)]
#[case::null(
    r#"{"routes": {"stock": null}}"#,
    "routes.stock is null; write an object of the fields to change, or remove the name"
)]
#[case::all(
    r#"{"routes": null}"#,
    "routes is null; leave it out to keep what the base sets"
)]
#[case::required(
    r#"{"routes": {"stock": {"kind": null}}}"#,
    "routes.stock.kind is null; leave it out to keep what the base sets"
)]
#[case::last_service(
    r#"{"routes": {"stock": {"split": {"rack": null}}}}"#,
    "routes.stock.split is empty; name a service and its weight, such as \"rack\": 1"
)]
#[case::timeout(
    r#"{"routes": {"stock": {"timeout_ms": 150}}}"#,
    "routes.stock.timeout_ms is 150, below aim_ms, which is 170; raise it or lower aim_ms"
)]
fn an_invalid_overlay_is_reported_with_its_remedy(#[case] overlay: &str, #[case] message: &str) {
    let found = problems(
        &base(&stock_route(", \"aim_ms\": 170")),
        &[("yungay", overlay)],
    );
    assert!(found.starts_with("overlays/yungay.jsonc:1:"), "{found}");
    assert_eq!(found.split_once(": ").map(|(_, text)| text), Some(message));
}

/// A fault in one field hides no fault in another field, and is reported once.
#[test]
fn all_faults_of_a_route_are_reported_at_once() {
    let routes = "\"a\": {\"prefix\": \"x\", \"kind\": \"upload\", \"split\": {\"rack\": 0, \
                  \"cash\": 2}, \"timeout_ms\": 5, \"repeat\": true}";
    insta::assert_snapshot!(problems(&base(routes), &[("yungay", "{}")]).replace("; ", ";\n    "));
}

#[test]
fn published_slots_are_the_limit() {
    let slots = |fields: &str| format!("{{\"services\": {{\"caja\": {{{fields}}}}}}}");
    let text = slots("\"slots\": {\"published\": 30}");
    let effective_slots = set(&text, &[]).base().services[0].slots.effective();
    let limits = (
        effective_slots.min,
        effective_slots.initial,
        effective_slots.max,
    );
    assert_eq!(limits, (30, 30, 30));
    let none = set(&slots(""), &[]).base().services[0].slots;
    assert_eq!(none.effective(), none);
    let text = slots("\"slots\": {\"published\": 300}");
    assert_eq!(
        problems(&text, &[]),
        "base.jsonc:1:47: services.caja.slots.published is 300, above connections, which is 240; \
         lower it or raise connections"
    );
}

#[test]
fn too_many_routes_are_rejected() {
    let routes: Vec<String> = (0..1_001)
        .map(|i| stock_route("").replace("stock", &format!("r{i}")))
        .collect();
    let found = problems(&base(&routes.join(",")), &[]);
    let message = "routes is a list of 1001 routes; set it to at most 1000";
    assert!(found.ends_with(message), "{found}");
}

#[test]
fn a_difference_names_the_route_and_the_field() {
    let old = set(BASE, &[("huaraz", "{}"), ("yungay", "{}")]);
    let new = BASE
        .replace("\"rack\": 9, \"caja\": 1", "\"rack\": 1, \"caja\": 1")
        .replace("900", "800")
        .replace("{ \"caja\": 1 } }", "{ \"rack\": 5 } }")
        .replace("\"all\": {", "\"rest\": {")
        .replace("5000", "6000");
    let yungay = r#"{"routes": {"stock": {"kind": "non-idempotent"}}, "callers": {"idle_ms": 9}}"#;
    let new = set(&new, &[("huaraz", "{}"), ("yungay", yungay)]);
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
    insta::assert_snapshot!(
        "a_difference_as_json",
        serde_json::to_string_pretty(&diff(&old, &new)).unwrap()
    );
}

#[test]
fn a_weight_change_of_the_only_service_is_no_move() {
    let old = set(&base(&stock_route("")), &[]);
    let new = set(
        &base(&stock_route("").replace("\"rack\": 1", "\"rack\": 2")),
        &[],
    );
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["everywhere, route stock's split changes from rack 1 to rack 2"]
    );
}

#[test]
fn the_match_has_the_location_of_each_field() {
    let yungay =
        "{\n  \"routes\": {\"stock\": {\"split\": {\"caja\": 4},\n    \"timeout_ms\": 700}}}";
    let bundle = bundle(BASE, &[("yungay", yungay)]);
    let matched = find_route(&bundle, Some("yungay"), "h.example", "/stock/7").unwrap();
    let matched = matched.expect("a route matches");
    assert_eq!(matched.route.name, "stock");
    let locations: Vec<String> = matched
        .fields
        .iter()
        .map(|f| {
            let location = f
                .location
                .as_ref()
                .map_or("default".to_owned(), ToString::to_string);
            format!("{} {} {location}", f.path, f.value)
        })
        .collect();
    insta::assert_snapshot!(locations.join("\n"));
}

#[rstest]
#[case::base(None, "/photos/1", Some("photos"))]
#[case::site_without_an_overlay(Some("caraz"), "/photos", Some("all"))]
#[case::other_site(Some("yungay"), "/stock/1", Some("all"))]
#[case::moved(Some("yungay"), "/shelf/1", Some("stock"))]
fn the_match_depends_on_the_site(
    #[case] site: Option<&str>,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let yungay = r#"{"routes": {"stock": {"prefix": "/shelf/"}}}"#;
    let bundle = bundle(BASE, &[("yungay", yungay)]);
    let matched = find_route(&bundle, site, "h.example", path).unwrap();
    assert_eq!(matched.map(|a| a.route.name.to_string()).as_deref(), name);
}

#[test]
fn a_faulty_set_has_no_match() {
    let bundle = bundle(&base(&stock_route(", \"attempts\": 0")), &[]);
    assert_eq!(find_route(&bundle, None, "h", "/").unwrap_err().len(), 1);
}
