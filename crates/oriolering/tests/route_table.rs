//! Route lookup by host and path.

use oriolering::{
    CallerLimits, Route, RouteKind, RouteSet, RouteTable, RoutedService, WeightedService,
};
use proptest::prelude::*;
use rstest::rstest;
use smallvec::smallvec;

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 1_000,
    body_bytes: 2_000,
    header_ms: 300,
    idle_ms: 400,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms: 200,
        attempts: 2,
        priority: 0,
        parts: smallvec![WeightedService {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(RouteSet {
        version: 7,
        routes,
        services: vec![RoutedService {
            name: "s".into(),
            health_path: "/health".into(),
            connections: 9,
            slow_start: None,
        }],
        limits: LIMITS,
    })
}

fn sample() -> RouteTable {
    table(vec![
        route("all", "a.example", "/"),
        route("x", "a.example", "/x/"),
        route("xy", "a.example", "/x/y/"),
        route("again", "a.example", "/x/"),
        route("other", "b.example", "/x/"),
    ])
}

fn find<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|(i, route)| {
        assert_eq!(&table.set().routes[i], route);
        route.name.as_str()
    })
}

#[rstest]
#[case::root("/", Some("all"))]
#[case::other_path("/z/1", Some("all"))]
#[case::prefix_itself("/x/", Some("x"))]
#[case::below("/x/1", Some("x"))]
#[case::deeper_below("/x/1/2/3", Some("x"))]
#[case::longest("/x/y/1", Some("xy"))]
#[case::without_trailing_slash("/x/y", Some("x"))]
#[case::prefix_ends_within_a_segment("/x/yy/1", Some("x"))]
#[case::prefix_without_its_slash("/x", Some("all"))]
#[case::double_slash("/x//y/", Some("x"))]
#[case::upper_case("/X/1", Some("all"))]
#[case::query("/x/?/x/y/", Some("x"))]
#[case::query_with_a_prefix("/?a=/x/y/1", Some("all"))]
#[case::encoded_slash("/x%2Fy/1", Some("all"))]
#[case::no_path("", None)]
#[case::asterisk("*", None)]
fn the_longest_prefix_of_the_path_wins(#[case] path: &str, #[case] expected: Option<&str>) {
    assert_eq!(find(&sample(), "a.example", path), expected);
}

#[rstest]
#[case::plain("a.example", Some("x"))]
#[case::port("a.example:8080", Some("x"))]
#[case::case_of_the_host("A.exAMPle", Some("x"))]
#[case::case_and_port("A.EXAMPLE:80", Some("x"))]
#[case::other_host("b.example", Some("other"))]
#[case::unknown_host("c.example", None)]
#[case::parent_domain("example", None)]
#[case::subdomain("x.a.example", None)]
#[case::no_host("", None)]
fn the_host_is_compared_without_its_case_and_port(
    #[case] host: &str,
    #[case] expected: Option<&str>,
) {
    assert_eq!(find(&sample(), host, "/x/1"), expected);
}

#[test]
fn a_host_without_a_matching_prefix_has_no_route() {
    assert_eq!(find(&sample(), "b.example", "/y/"), None);
    assert_eq!(find(&table(Vec::new()), "a.example", "/"), None);
}

#[test]
fn the_table_keeps_the_rest_of_the_route_set() {
    let table = sample();
    assert_eq!(table.version(), 7);
    assert_eq!(table.limits(), LIMITS);
    assert_eq!(table.service("s").map(|s| s.connections), Some(9));
    assert_eq!(table.service("t"), None);
    assert_eq!(table.set().routes.len(), 5);
}

proptest! {
    #[test]
    fn a_lookup_agrees_with_a_linear_search(
        prefixes in prop::collection::vec("(/[ab]{1,2}){0,3}/", 0..12),
        path in "(/[ab]{0,2}){1,5}",
    ) {
        let routes: Vec<Route> = prefixes
            .iter()
            .enumerate()
            .map(|(i, p)| route(&format!("r{i}"), "h", p))
            .collect();
        let matching = routes.iter().filter(|r| path.starts_with(r.prefix.as_str()));
        // Of two routes with the same prefix, the first one is used.
        let expected = matching.rev().max_by_key(|r| r.prefix.len()).map(|r| r.name.to_string());
        let table = table(routes);
        prop_assert_eq!(find(&table, "h", &path).map(str::to_owned), expected);
    }
}
