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
    let source = all_sources("crates/node/src");
    assert!(source.len() > 30_000, "the sources of the node are there");
    source
}

/// Returns the text of all sources below a directory of the repository.
fn all_sources(dir: &str) -> String {
    let files = sources(&root().join(dir));
    let texts = files.iter().map(|path| fs::read_to_string(path).unwrap());
    texts.collect()
}

/// Returns the sources that only a node on a platform runs.
fn mesh_source() -> String {
    all_sources("crates/mesh/src") + &all_sources("crates/http/src")
}

/// Returns the name of an event as a line writes it.
fn event_name(variant: &str) -> String {
    let mut name = String::new();
    for c in variant.chars() {
        if c.is_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.extend(c.to_lowercase());
    }
    name
}

/// Returns the fields of each event, in their order, from the enum in the source.
fn event_fields(source: &str) -> Vec<(String, Vec<String>)> {
    let from = source.find("pub(crate) enum Event {").unwrap();
    let length = source[from..].find("\n}\n").unwrap();
    let mut events: Vec<(String, Vec<String>)> = Vec::new();
    for line in source[from..from + length].lines().skip(1) {
        if line.trim_start().starts_with("///") {
            continue;
        }
        let (variant, fields) = match line.split_once(" {") {
            Some((variant, fields)) => (Some(variant.trim()), fields),
            None => (None, line),
        };
        events.extend(variant.map(|name| (event_name(name), Vec::new())));
        let names = fields
            .split(", ")
            .filter_map(|field| field.split_once(": "));
        let names = names.map(|(name, _)| name.trim().to_owned());
        if let Some((_, known)) = events.last_mut() {
            known.extend(names);
        }
    }
    events
}

/// Returns the rank of each event from the match in the source.
fn event_ranks(source: &str) -> Vec<(String, String)> {
    let from = source.find("fn rank(&self)").unwrap();
    let length = source[from..].find("\n    }\n").unwrap();
    let mut ranks = Vec::new();
    let mut open = Vec::new();
    for word in source[from..from + length].split_whitespace() {
        if let Some(variant) = word.strip_prefix("Self::") {
            open.push(event_name(variant));
        }
        if let Some(rank) = word.strip_prefix("Rank::") {
            let rank = rank.trim_end_matches(',').to_lowercase();
            ranks.extend(open.drain(..).map(|event| (event, rank.clone())));
        }
    }
    ranks
}

/// Returns the metrics that the platform's node registers, with their labels.
fn platform_metrics(source: &str) -> BTreeSet<Vec<String>> {
    let mut found = BTreeSet::new();
    for call in ["counter", "gauge", "words", "durations"] {
        let start = format!("    {call}(meter, counts, \"");
        for rest in source.split(&start).skip(1) {
            let mut texts = rest.split('"');
            let name = texts.next().unwrap().to_owned();
            let label = match call {
                "words" => texts.nth(1).unwrap().to_owned(),
                "durations" => "le".to_owned(),
                _ => String::new(),
            };
            found.insert(vec![name, label]);
        }
    }
    found
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
fn the_page_lists_every_event_with_its_rank_and_fields() {
    let source = page("crates/mesh/src/trail/event.rs");
    let ranks = event_ranks(&source);
    let fields = event_fields(&source);
    assert!(fields.len() > 30, "the source has events");
    assert_eq!(ranks.len(), fields.len(), "each event has a rank");
    let code = |text: &String| format!("`{text}`");
    let expected: Vec<String> = fields
        .iter()
        .map(|(event, fields)| {
            let (_, rank) = ranks.iter().find(|(name, _)| name == event).unwrap();
            let fields: Vec<String> = fields.iter().map(code).collect();
            format!("| `{event}` | {rank} | {} |", fields.join(", "))
        })
        .collect();
    let text = page("docs/OPERATIONS.md");
    let rows = list(&text, "events")
        .lines()
        .filter(|l| l.starts_with("| `"));
    let listed: Vec<String> = rows
        .map(|row| {
            let cells: Vec<&str> = row.split(" | ").take(3).collect();
            format!("{} |", cells.join(" | "))
        })
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn the_page_lists_every_metric_of_a_node_on_a_platform() {
    let registered = platform_metrics(&page("crates/mesh/src/metrics.rs"));
    assert!(registered.len() > 15, "the source registers metrics");
    let text = page("docs/OPERATIONS.md");
    let rows = cells(list(&text, "platform metrics"), 3);
    let listed: BTreeSet<Vec<String>> = rows
        .into_iter()
        .map(|row| vec![row[0].clone(), row[2].clone()])
        .collect();
    assert_eq!(listed, registered);
}

#[test]
fn the_page_lists_every_word_of_a_label() {
    let source = page("crates/mesh/src/counts.rs");
    let text = page("docs/OPERATIONS.md");
    let listed = list(&text, "platform metrics");
    let arrays = source.split("pub(crate) const ").skip(1);
    let arrays = arrays.filter(|rest| rest.contains(": [&str; "));
    let mut words = 0;
    for array in arrays {
        let values = array.split(';').nth(1).unwrap();
        for word in values.split('"').skip(1).step_by(2) {
            assert!(listed.contains(&format!("`{word}`")), "{word}");
            words += 1;
        }
    }
    assert!(words > 30, "the source has labels");
}

#[test]
fn the_page_lists_every_other_line_of_a_node_on_a_platform() {
    let text = page("docs/OPERATIONS.md");
    let listed = cells(list(&text, "other lines"), 2);
    assert_eq!(listed, logged(&mesh_source()));
}

/// The lines that the page shows stand in the recorded lines that the command is tested with.
#[test]
fn the_lines_on_the_page_are_recorded() {
    let text = page("docs/OPERATIONS.md");
    let stories: Vec<&str> = text.split("<!-- lines: ").skip(1).collect();
    assert_eq!(stories.len(), 4, "the kinds of failures");
    for story in stories {
        let name = story.split(" -->").next().unwrap();
        let dir = root().join("crates/ctl/tests/fixtures/lines").join(name);
        let files = fs::read_dir(dir).unwrap();
        let texts = files.map(|file| fs::read_to_string(file.unwrap().path()).unwrap());
        let recorded: String = texts.collect();
        let shown = story.split("<!-- end -->").next().unwrap();
        let shown: Vec<&str> = shown.lines().filter(|l| l.starts_with('{')).collect();
        assert!(shown.len() > 1, "{name} shows lines");
        for line in shown {
            assert!(recorded.lines().any(|l| l == line), "{name}: {line}");
        }
    }
}

#[test]
fn the_deploy_file_names_the_address_of_the_metrics() {
    let source = page("crates/mesh/src/metrics.rs");
    let value = |name: &str| {
        let rest = source.split(name).nth(1).unwrap();
        let value = rest.split([';', '=']).nth(1).unwrap();
        value.trim().trim_matches('"').replace('_', "")
    };
    let path = value("const METRICS_PATH");
    let line = format!("metrics = \"{}{path}\"", value("const METRICS_PORT"));
    let deploy = page("deploy/system.toml");
    assert!(deploy.lines().any(|other| other == line), "{line}");
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

/// Returns the pages, each with its path and its text.
fn pages() -> Vec<(String, String)> {
    let mut paths = vec!["README.md".to_owned()];
    for dir in [
        "docs",
        "docs/design",
        "docs/parts",
        "docs/incidents",
        "docs/plots",
    ] {
        let entries = fs::read_dir(root().join(dir)).unwrap();
        let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        let names = names.filter(|name| name.ends_with(".md"));
        paths.extend(names.map(|name| format!("{dir}/{name}")));
    }
    let read = |path: String| (path.clone(), page(&path));
    paths.into_iter().map(read).collect()
}

/// Returns the Rust sources of all packages by their paths in the repository.
fn package_sources() -> Vec<(String, PathBuf)> {
    let files = ["crates", "platform"].map(|dir| sources(&root().join(dir)));
    let short = |path: &PathBuf| path.strip_prefix(root()).unwrap().display().to_string();
    let files = files.into_iter().flatten();
    files.map(|path| (short(&path), path)).collect()
}

/// Returns the names of Rust files in a text, with the folders before them.
fn file_names(text: &str) -> BTreeSet<&str> {
    let in_path = |c: char| c.is_alphanumeric() || "_-./".contains(c);
    let words = text.split(|c| !in_path(c));
    let words = words.map(|word| word.trim_end_matches('.').trim_start_matches("../"));
    words.filter(|word| word.ends_with(".rs")).collect()
}

/// Whether a page's name of a file fits a path; pages may leave out the folder `src`.
fn names_file(name: &str, path: &str) -> bool {
    let ends = |path: &str| format!("/{path}").ends_with(&format!("/{name}"));
    ends(path) || ends(&path.replace("/src/", "/"))
}

#[test]
fn the_files_on_the_pages_exist() {
    let sources = package_sources();
    let mut checked = 0;
    let mut missing = Vec::new();
    for (path, text) in pages() {
        for name in file_names(&text) {
            checked += 1;
            if !sources.iter().any(|(source, _)| names_file(name, source)) {
                missing.push(format!("{path}: {name}"));
            }
        }
    }
    assert!(checked > 150, "the pages name files, but {checked} found");
    assert_eq!(missing, Vec::<String>::new());
}

/// Returns the names of test files, their modules and their functions.
fn test_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (path, file) in package_sources() {
        let Some((_, inner)) = path.split_once("/tests/") else {
            continue;
        };
        let parts = inner.trim_end_matches(".rs").split('/');
        names.extend(parts.map(str::to_owned));
        let text = fs::read_to_string(file).unwrap();
        let functions = text.split("fn ").skip(1);
        let functions = functions.filter_map(|rest| rest.split(['(', '<']).next());
        names.extend(functions.map(str::to_owned));
    }
    names
}

fn in_test_name(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || "_*".contains(c)
}

/// Whether a name is lower case with underscores; `*` stands for any text.
fn is_test_name(word: &str) -> bool {
    !word.is_empty() && word.chars().all(in_test_name)
}

/// Returns the words in code marks of a text.
fn code_words(text: &str) -> Vec<&str> {
    let blocks = text.split("\n\n");
    let code = blocks.flat_map(|block| block.split('`').skip(1).step_by(2));
    code.filter(|code| !code.contains("--"))
        .flat_map(str::split_whitespace)
        .collect()
}

/// Returns the cells of all columns of a page whose heads begin with "test".
fn test_cells(text: &str) -> Vec<&str> {
    let mut column = None;
    let mut found = Vec::new();
    for line in text.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if !line.starts_with('|') {
            column = None;
        } else if column.is_none() {
            column = Some(cells.iter().position(|cell| cell.starts_with("test")));
        } else if let Some(Some(column)) = column {
            found.extend(cells.get(column));
        }
    }
    found
}

/// Returns the names of tests on a page: files and functions after `--test`, words in columns of
/// tests, and long names in code marks.
fn named_tests(text: &str) -> BTreeSet<&str> {
    let mut names = BTreeSet::new();
    for option in text.split("--test ").skip(1) {
        let option = option.split(['`', ',', ')']).next().unwrap();
        let words = option.split_whitespace();
        names.extend(words.take_while(|word| !word.starts_with('-')));
    }
    let cells = test_cells(text).into_iter().flat_map(code_words);
    names.extend(cells);
    let words = code_words(text).into_iter();
    names.extend(words.filter(|word| word.matches('_').count() > 3));
    names.retain(|name| is_test_name(name));
    names
}

/// Whether a name, in which `*` stands for any text, is that of a test.
fn is_known_test(known: &BTreeSet<String>, name: &str) -> bool {
    let Some((start, end)) = name.split_once('*') else {
        return known.contains(name);
    };
    let mut known = known.iter();
    known.any(|test| test.starts_with(start) && test.ends_with(end))
}

#[test]
fn the_tests_on_the_pages_exist() {
    let known = test_names();
    let mut checked = 0;
    let mut missing = Vec::new();
    for (path, text) in pages() {
        let names = named_tests(&text);
        checked += names.len();
        let unknown = names
            .into_iter()
            .filter(|name| !is_known_test(&known, name));
        missing.extend(unknown.map(|name| format!("{path}: {name}")));
    }
    assert!(checked > 120, "the pages name tests, but {checked} found");
    assert_eq!(missing, Vec::<String>::new());
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
    let test = "cargo test --workspace --locked --no-fail-fast -- \"${skips[@]}\"";
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
