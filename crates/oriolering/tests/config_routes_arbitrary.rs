//! Settings sets with arbitrary routes.

#![cfg(feature = "config")]

use std::collections::HashSet;

use oriolering::config::{Bundle, SettingsSet, SiteSettings, diff, find_route};
use oriolering::{Route, TrafficSplitter};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A host that is valid or nearly valid.
fn host() -> impl Strategy<Value = String> {
    prop_oneof![
        8 => prop::sample::select(vec!["a.example", "b.example"]).prop_map(str::to_owned),
        1 => "[aB.:-]{0,4}",
    ]
}

/// A prefix that is valid or nearly valid.
fn prefix() -> impl Strategy<Value = String> {
    prop_oneof![8 => "(/[ab]{1,2}){0,2}/", 1 => "[/a?# ]{0,4}"]
}

fn split() -> impl Strategy<Value = String> {
    let weight = prop_oneof![8 => (1..10_001u32).prop_map(|n| n.to_string()),
                             1 => prop::sample::select(vec!["0", "null", "10001", "-1", "0.5"]).prop_map(str::to_owned)];
    let service = prop_oneof![8 => prop::sample::select(vec!["rack", "caja"]), 1 => Just("rak")];
    let part = (service, weight).prop_map(|(name, weight)| format!("\"{name}\": {weight}"));
    prop::collection::vec(part, 1..3).prop_map(|parts| format!("{{{}}}", parts.join(",")))
}

/// Optional fields, with values in range or just out of range.
fn optional_fields() -> impl Strategy<Value = String> {
    prop::sample::select(vec![
        "",
        "",
        "",
        "\"timeout_ms\": 300,",
        "\"aim_ms\": 1,",
        "\"aim_ms\": 600000, \"timeout_ms\": 600000,",
        "\"timeout_ms\": 199,",
        "\"attempts\": 0,",
        "\"attempts\": 10,",
        "\"priority\": 255,",
        "\"priority\": null,",
        "\"idempotent\": true,",
    ])
    .prop_map(str::to_owned)
}

fn kind() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["idempotent", "non-idempotent", "upload", "download"])
}

fn route() -> impl Strategy<Value = String> {
    (host(), prefix(), kind(), split(), optional_fields()).prop_map(|(host, prefix, kind, split, optional_fields)| {
        format!(
            "{{{optional_fields} \"host\": \"{host}\", \"prefix\": \"{prefix}\", \"kind\": \"{kind}\", \
             \"split\": {split}}}"
        )
    })
}

fn route_overlay() -> impl Strategy<Value = String> {
    prop_oneof![
        prefix().prop_map(|p| format!("{{\"prefix\": \"{p}\"}}")),
        host().prop_map(|h| format!("{{\"host\": \"{h}\"}}")),
        split().prop_map(|s| format!("{{\"split\": {s}}}")),
        optional_fields().prop_map(|e| format!("{{{e}}}")),
        Just("{\"split\": {\"rack\": null}}".to_owned()),
        Just("null".to_owned()),
    ]
}

fn named(routes: &[String]) -> String {
    let named = routes.iter().enumerate();
    let named: Vec<String> = named.map(|(i, r)| format!("\"r{i}\": {r}")).collect();
    format!("{{{}}}", named.join(","))
}

fn bundle(routes: &[String], overlay: &[String]) -> Bundle {
    let services = "\"services\": {\"rack\": {}, \"caja\": {}}";
    let overlay = format!("{{\"routes\": {}}}", named(overlay));
    Bundle {
        base: format!("{{{services}, \"routes\": {}}}", named(routes)),
        overlays: [("yungay".into(), overlay)].into(),
    }
}

/// Returns the route with the longest matching prefix, by a linear search.
fn longest_prefix_match<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let of_host = routes.iter().filter(|r| r.host == host);
    let matching = of_host.filter(|r| path.starts_with(r.prefix.as_str()));
    matching.max_by_key(|r| r.prefix.len())
}

/// Checks the properties of routes that routing relies on.
fn check_invariants(settings: &SiteSettings) -> Result<(), TestCaseError> {
    let mut seen = HashSet::new();
    for route in &settings.routes {
        prop_assert!(seen.insert((&route.host, &route.prefix)));
        prop_assert!(route.prefix.starts_with('/') && route.prefix.ends_with('/'));
        prop_assert_eq!(route.host.to_lowercase(), route.host.as_str());
        prop_assert!(!route.parts.is_empty());
        prop_assert!(route.parts.iter().all(|p| p.weight > 0));
        prop_assert!(
            route
                .parts
                .iter()
                .all(|p| settings.service_key(&p.service).is_some())
        );
        prop_assert!(route.attempts >= 1);
        prop_assert!(route.aim_ms <= route.timeout_ms);
        let mut rng = StdRng::seed_from_u64(1);
        prop_assert!(TrafficSplitter::default().choose(route, &mut rng) < route.parts.len());
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// The route table of every accepted set finds the same route as a linear search.
    #[test]
    fn the_route_table_agrees_with_a_linear_search(
        routes in prop::collection::vec(route(), 0..5),
        overlay in prop::collection::vec(route_overlay(), 0..3),
        host in "[ab]\\.example",
        path in "(/[ab]{0,2}){1,4}",
    ) {
        let bundle = bundle(&routes, &overlay);
        if let Ok(set) = SettingsSet::parse(&bundle) {
            for site in ["yungay", "huaraz"] {
                let settings = set.site(site);
                check_invariants(&settings)?;
                let table = settings.route_table(1);
                let found = table.find(&host, &path).map(|(_, r)| r);
                prop_assert_eq!(found, longest_prefix_match(&settings.routes, &host, &path));
                for service in &settings.services {
                    prop_assert!(table.service(&service.name).is_some());
                }
                let answer = find_route(&bundle, Some(site), &host, &path);
                let answer = answer.expect("the set is valid").map(|a| a.route);
                prop_assert_eq!(answer.as_ref(), found);
            }
        }
    }

    /// Well-formed routes are all accepted, and their table agrees with a linear search.
    #[test]
    fn well_formed_routes_are_accepted(
        prefixes in prop::collection::hash_set("(/[ab]{1,2}){0,2}/", 0..8),
        kind in kind(),
        path in "(/[ab]{0,2}){1,4}",
    ) {
        let route = |prefix: &String| format!(
            "{{\"host\": \"a.example\", \"prefix\": \"{prefix}\", \"kind\": \"{kind}\", \
             \"split\": {{\"rack\": 1}}}}"
        );
        let routes: Vec<String> = prefixes.iter().map(route).collect();
        let set = SettingsSet::parse(&bundle(&routes, &[]));
        let set = set.expect("all routes are well-formed");
        check_invariants(set.base())?;
        let table = set.base().route_table(1);
        let found = table.find("a.example", &path).map(|(_, r)| r);
        prop_assert_eq!(found, longest_prefix_match(&set.base().routes, "a.example", &path));
    }

    /// A difference is reported if and only if the routes differ.
    #[test]
    fn differences_are_reported_only_for_differing_routes(
        old in prop::collection::vec(route(), 0..3),
        new in prop::collection::vec(route(), 0..3),
    ) {
        let sets = [&old, &new].map(|routes| SettingsSet::parse(&bundle(routes, &[])));
        if let [Ok(old), Ok(new)] = sets {
            let differs = old.base().routes != new.base().routes;
            prop_assert_eq!(diff(&old, &new).is_empty(), !differs);
            prop_assert_eq!(diff(&old, &new).len(), diff(&new, &old).len());
            prop_assert!(diff(&old, &old).is_empty());
        }
    }

    /// A bundle that is encoded and parsed again gives the same set or the same problems.
    #[test]
    fn the_result_survives_a_round_trip_of_the_bundle(
        routes in prop::collection::vec(route(), 0..5),
        overlay in prop::collection::vec(route_overlay(), 0..3),
    ) {
        let bundle = bundle(&routes, &overlay);
        let decoded = Bundle::parse(&bundle.to_json()).expect("an encoded bundle can be parsed");
        prop_assert_eq!(SettingsSet::parse(&bundle), SettingsSet::parse(&decoded));
    }
}
