//! Sessions with the commands that work on sets.

use crate::common::{run, session};
use oriolering::config::{Bundle, SettingsSet};
use rstest::rstest;

/// The set with mistakes in every file.
const FAULTY: &str = "crates/ctl/tests/fixtures/faulty";

#[rstest]
#[case::rental("check-rental", &["check", "examples/rental"])]
#[case::supper("check-supper", &["check", "examples/supper", "--format", "json"])]
#[case::faulty("check-faulty", &["check", FAULTY])]
#[case::faulty_json("check-faulty-json", &["check", FAULTY, "--format", "json"])]
#[case::site("render-yungay", &["render", "examples/rental", "--site", "yungay"])]
#[case::service(
    "render-caja-json",
    &["render", "examples/rental", "--site", "caraz", "--service", "caja", "--format", "json"]
)]
#[case::diff("diff-rental", &["diff", "examples/rental", "crates/ctl/tests/fixtures/rental-next"])]
#[case::diff_json(
    "diff-rental-json",
    &["diff", "examples/rental", "crates/ctl/tests/fixtures/rental-next", "--format", "json"]
)]
#[case::route(
    "route-stock",
    &["route", "examples/rental", "--host", "shop.huascaran.example", "--path", "/stock/7?size=40"]
)]
#[case::route_of_a_site(
    "route-photos-caraz",
    &[
        "route", "examples/rental", "--site", "caraz", "--host", "Guide.huascaran.example:8080",
        "--path", "/photos/1"
    ]
)]
#[case::route_with_a_split(
    "route-split-json",
    &[
        "route", "crates/ctl/tests/fixtures/rental-next", "--site", "yungay", "--host",
        "shop.huascaran.example", "--path", "/stock/7", "--format", "json"
    ]
)]
#[case::no_route(
    "route-none",
    &["route", "examples/rental", "--host", "shop.huascaran.example", "--path", "/stock"]
)]
#[case::no_host(
    "route-no-host",
    &["route", "examples/rental", "--host", "shop.example", "--path", "/stock/"]
)]
#[case::route_of_a_faulty_set(
    "route-faulty",
    &["route", FAULTY, "--host", "shop.example", "--path", "/stock/"]
)]
#[case::same("diff-same", &["diff", "examples/rental", "examples/rental"])]
#[case::faulty_bundle("bundle-faulty", &["bundle", FAULTY])]
fn a_session_is_kept(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(name, session(args));
}

#[rstest]
#[case::none("usage-none", &[])]
#[case::command("usage-command", &["chek", "examples/rental"])]
#[case::flag("usage-flag", &["check", "examples/rental", "--fromat", "json"])]
#[case::format("usage-format", &["check", "examples/rental", "--format", "jsn"])]
#[case::file("usage-file", &["check", "examples/rental/base.jsonc"])]
#[case::missing("usage-missing", &["check", "examples/rentals"])]
#[case::site("usage-site", &["render", "examples/rental", "--site", "yungai"])]
#[case::service("usage-service", &["render", "examples/rental", "--service", "cajas"])]
#[case::route("usage-route", &["route", "examples/rental", "--host", "shop.example"])]
#[case::node("usage-node", &["status", "--node", "localhost:7400"])]
#[case::no_node("usage-no-node", &["status"])]
#[case::trace("usage-trace", &["trace", "--node", "127.0.0.1:7400", "00-4bf92f35-01"])]
#[case::explain("usage-explain", &["explain", "--node", "127.0.0.1:7400", "--service", "a/b"])]
fn a_wrong_argument_tells_what_to_type(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(name, session(args));
}

#[rstest]
#[case("help", &["--help"])]
#[case("help-check", &["check", "--help"])]
#[case("help-render", &["render", "--help"])]
#[case("help-diff", &["diff", "--help"])]
#[case("help-route", &["route", "--help"])]
#[case("help-bundle", &["bundle", "--help"])]
#[case("help-schema", &["schema", "--help"])]
#[case("help-status", &["status", "--help"])]
#[case("help-explain", &["explain", "--help"])]
#[case("help-trace", &["trace", "--help"])]
#[case("help-completion", &["completion", "--help"])]
fn the_help_is_kept(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(name, session(args));
}

#[rstest]
#[case::rental("examples/rental", &["huaraz", "carhuaz", "yungay", "caraz"])]
#[case::supper("examples/supper", &["leuven", "mechelen", "aalst", "vilvoorde"])]
fn the_value_to_publish_is_the_set(#[case] path: &str, #[case] sites: &[&str]) {
    let output = run(&["bundle", path]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let set = SettingsSet::parse(&Bundle::parse(&text).unwrap()).unwrap();
    for site in sites {
        assert_ne!(&set.site(site), set.base(), "{site}");
    }
    let published = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(published.path(), &text).unwrap();
    let published = published.path().to_str().unwrap();
    let diff = run(&["diff", published, path]);
    assert_eq!(
        String::from_utf8_lossy(&diff.stdout),
        "no change at any site\n"
    );
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
fn completion_knows_every_command(#[case] shell: &str) {
    let output = run(&["completion", shell]);
    assert!(output.status.success());
    let script = String::from_utf8(output.stdout).unwrap();
    for command in [
        "check", "render", "diff", "route", "bundle", "schema", "status", "explain", "trace",
    ] {
        assert!(script.contains(command), "{command}");
    }
}

/// A published file is never cut short in silence.
#[test]
fn output_that_cannot_be_written_is_a_failure() {
    let full = std::fs::OpenOptions::new()
        .write(true)
        .open("/dev/full")
        .unwrap();
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_oriolering"))
        .args(["bundle", "examples/rental"])
        .current_dir(crate::common::root())
        .stdout(full)
        .stderr(std::process::Stdio::null())
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(1));
}
