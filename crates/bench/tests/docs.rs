//! The pages: lists equal to the sources, links that resolve, and commands run as they stand.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use oriolering_bench::{Caller, Process, Request, Signal, Told, free_address, http_get, program};

const START_LIMIT: Duration = Duration::from_secs(20);
const DRAIN_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

/// Returns the paths of all Rust sources below a directory.
fn sources(dir: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
    found
}

fn node_source() -> String {
    let files = sources(&root().join("crates/node/src"));
    assert!(files.len() > 30, "the sources of the node are there");
    files
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

/// Returns the text between the markers of a list in a page.
fn list<'a>(page: &'a str, name: &str) -> &'a str {
    let start = format!("<!-- list: {name} -->\n");
    let from = page.find(&start).expect("the page has the marker") + start.len();
    let length = page[from..]
        .find("<!-- end -->")
        .expect("the list has an end");
    &page[from..from + length]
}

/// Returns the words in the first `count` columns of a table whose cells are code.
fn cells(table: &str, count: usize) -> BTreeSet<Vec<String>> {
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| -> Vec<String> {
        let cells = line.split(" | ").take(count);
        cells
            .map(|cell| cell.trim_matches(['|', ' ', '`']).to_owned())
            .collect()
    };
    rows.map(row).collect()
}

/// Returns the first string literal in a text.
fn scan_literal(text: &str) -> Option<&str> {
    let from = text.find('"')? + 1;
    let length = text[from..].find('"')?;
    Some(&text[from..from + length])
}

/// Returns the metrics that the source registers, as a scrape names them.
fn registered(source: &str) -> BTreeSet<String> {
    let kinds = [
        ("= count(", "_total"),
        (": count(", "_total"),
        (".u64_counter(", "_total"),
        (".f64_counter(", "_total"),
        (".u64_histogram(", ""),
        (".f64_histogram(", ""),
        (".u64_gauge(", ""),
        (".i64_gauge(", ""),
        (".f64_gauge(", ""),
        (".u64_observable_gauge(", ""),
        (".f64_observable_gauge(", ""),
        (".u64_observable_counter(", "_total"),
    ];
    let mut names = BTreeSet::new();
    for (call, suffix) in kinds {
        let calls = source.split(call).skip(1);
        let literal = calls.filter(|rest| rest.trim_start().starts_with('"'));
        names.extend(
            literal
                .filter_map(scan_literal)
                .map(|name| format!("{name}{suffix}")),
        );
    }
    names
}

/// Returns the level and the text of each log line of the source.
fn logged(source: &str) -> BTreeSet<Vec<String>> {
    let mut events = BTreeSet::new();
    for level in ["error", "warn", "info", "debug", "trace"] {
        let call = format!("log::{level}!(");
        for rest in source.split(&call).skip(1) {
            let text = scan_literal(rest).expect("the line has a text");
            events.insert(vec![level.to_owned(), text.to_owned()]);
        }
    }
    events
}

#[test]
fn the_page_lists_every_metric() {
    let listed = page("docs/OPERATIONS.md");
    let listed: BTreeSet<String> = cells(list(&listed, "metrics"), 1)
        .into_iter()
        .flatten()
        .collect();
    let registered = registered(&node_source());
    assert!(registered.len() > 10, "the source registers metrics");
    assert_eq!(listed, registered);
}

#[test]
fn the_page_lists_every_log_line() {
    let listed = page("docs/OPERATIONS.md");
    let listed = cells(list(&listed, "log lines"), 2);
    let logged = logged(&node_source());
    assert!(logged.len() > 10, "the source logs");
    assert_eq!(listed, logged);
}

#[test]
fn links_between_pages_resolve() {
    let docs = fs::read_dir(root().join("docs")).unwrap();
    let mut pages: Vec<PathBuf> = docs.map(|entry| entry.unwrap().path()).collect();
    pages.retain(|path| path.extension().is_some_and(|end| end == "md"));
    pages.push(root().join("README.md"));
    for path in pages {
        let text = fs::read_to_string(&path).unwrap();
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let found = path.parent().unwrap().join(target);
            assert!(found.exists(), "{}: {target}", path.display());
        }
    }
}

#[test]
fn the_readme_and_the_pipeline_name_the_same_test_command() {
    let has = |path: &str, line: &str| page(path).lines().any(|other| other == line);
    assert!(has("README.md", "    .ci/test"), "the page names .ci/test");
    assert!(has(".ci/run", ".ci/test"), "the pipeline calls .ci/test");
    let build = "cargo build --workspace --bins --examples --locked";
    assert!(
        has(".ci/test", build),
        ".ci/test builds what the tests start"
    );
    let test = "cargo test --workspace --locked -- \"${skips[@]}\"";
    assert!(has(".ci/test", test), ".ci/test runs all tests");
}

/// Runs the demonstration as the README's command runs it after the build.
#[test]
fn the_demonstration_loses_no_call() {
    let output = Command::new(program("demo")).output().unwrap();
    let shown = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{shown}{errors}");
}

/// The addresses of the page and of the example files, each with a free one in its place.
struct Addresses(Vec<(&'static str, SocketAddr)>);

impl Addresses {
    fn new() -> Self {
        let ports = ["7000", "8100", "8101", "8102", "8103", "9100"];
        Self(ports.map(|port| (port, free_address())).into())
    }

    fn of(&self, port: &str) -> SocketAddr {
        self.0.iter().find(|(name, _)| *name == port).unwrap().1
    }

    fn replace(&self, text: &str) -> String {
        let replace = |text: String, (port, address): &(&str, SocketAddr)| {
            text.replace(&format!("127.0.0.1:{port}"), &address.to_string())
        };
        self.0.iter().fold(text.to_owned(), replace)
    }

    /// Copies a directory with the addresses replaced in every file.
    fn copy(&self, from: &Path, to: &Path) {
        fs::create_dir_all(to).unwrap();
        for entry in fs::read_dir(from).unwrap() {
            let path = entry.unwrap().path();
            let target = to.join(path.file_name().unwrap());
            if path.is_dir() {
                self.copy(&path, &target);
            } else {
                let text = fs::read_to_string(&path).unwrap();
                fs::write(target, self.replace(&text)).unwrap();
            }
        }
    }
}

/// Runs a command of a page in `dir`; one that ends with `&` goes on and is returned.
fn run_command(dir: &Path, line: &str) -> Option<Process> {
    let (line, background) = match line.strip_suffix(" &") {
        Some(line) => (line, true),
        None => (line, false),
    };
    let (line, file) = line.split_once(" > ").unwrap_or((line, "output"));
    let mut words = line.split(' ');
    let name = words.next().unwrap().rsplit('/').next().unwrap();
    let path = |word: &str| match dir.join(word).exists() {
        true => dir.join(word).display().to_string(),
        false => word.to_owned(),
    };
    let args: Vec<String> = words.map(path).collect();
    if background {
        let log = dir.join(format!("{name}.log"));
        return Some(Process::start(&program(name), &args, &log).unwrap());
    }
    let output = Command::new(program(name))
        .args(&args)
        .current_dir(dir)
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{line}: {errors}");
    fs::write(dir.join(file), output.stdout).unwrap();
    None
}

async fn wait_until_ready(admin: SocketAddr) {
    let end = Instant::now() + START_LIMIT;
    while !matches!(http_get(admin, "/ready").await, Some((200, _))) {
        assert!(Instant::now() < end, "the node is not ready");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns the names in a scrape that the page does not list.
fn unlisted(scrape: &str) -> Vec<&str> {
    let page = page("docs/OPERATIONS.md");
    let listed = cells(list(&page, "metrics"), 1);
    let types = scrape
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|rest| rest.split(' ').next());
    names
        .filter(|name| !listed.contains(&vec![(*name).to_owned()]))
        .collect()
}

/// The commands bring up a node from nothing; only the addresses are replaced by free ones.
#[ntex::main]
#[test]
async fn the_commands_of_the_page_start_a_node() {
    let text = page("docs/OPERATIONS.md");
    let dir = tempfile::tempdir().unwrap();
    let addresses = Addresses::new();
    addresses.copy(&root().join("examples"), &dir.path().join("examples"));
    let mut started = Vec::new();
    let lines = list(&text, "start")
        .lines()
        .filter_map(|l| l.strip_prefix("    "));
    for line in lines {
        started.extend(run_command(dir.path(), &addresses.replace(line)));
    }
    assert_eq!(started.len(), 3, "a platform, a backend server, a node");
    let admin = addresses.of("8103");
    wait_until_ready(admin).await;
    let caller = Caller::new(Instant::now());
    let request = Request::new(addresses.of("8100"), "rack", "GET", "first");
    assert_eq!(caller.send(&request).await.told, Told::Answer);
    let lines = list(&text, "look")
        .lines()
        .filter_map(|l| l.strip_prefix("    "));
    for line in lines {
        run_command(dir.path(), &addresses.replace(line));
    }
    let scrape = http_get(admin, "/metrics").await.unwrap().1;
    let scrape = String::from_utf8_lossy(&scrape);
    assert!(scrape.contains("calls_total"), "{scrape}");
    assert_eq!(unlisted(&scrape), Vec::<&str>::new());
    let node = started.last_mut().unwrap();
    node.signal(Signal::Terminate);
    assert_eq!(node.wait(DRAIN_LIMIT).await, Some(0));
}
