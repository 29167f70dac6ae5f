//! The stand-ins of the platform's backend servers and clients do what the soak relies on.

use std::path::PathBuf;
use std::time::Duration;

use oriolering_bench::soak::app::serve_app;
use oriolering_bench::soak::client::{Attempt, Connection, Reply, Told};
use oriolering_bench::soak::record::{Entry, Step, now_ms, read_record};
use oriolering_bench::soak::seal::{bytes_of, digest};
use oriolering_bench::soak::{AppFault, AppSettings, Flaw, WhenFull};
use oriolering_bench::{Process, free_address, program, wait_for_listener};
use oriolering_platform::HEADERS;
use rstest::rstest;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::sleep;

const WHOLE: Told = answer(200, Some(true));
const REFUSED: Told = answer(503, None);

const fn answer(status: u16, signed: Option<bool>) -> Told {
    Told::Answer(Reply {
        status,
        signed,
        retry_after_ms: None,
    })
}

struct Site {
    settings: AppSettings,
    _dir: TempDir,
}

fn settings() -> AppSettings {
    AppSettings {
        listen: free_address(),
        control: free_address(),
        record: PathBuf::new(),
        id: "i-1".into(),
        service: "caja".into(),
        health_path: "/health".into(),
        slots: 2,
        queue: 2,
        connections: 8,
        idle_ms: 400,
        tells_load: true,
        cold_ms: 0,
        seed: 7,
    }
}

impl Site {
    async fn start(settings: AppSettings) -> Self {
        let site = Self::new(settings);
        spawn_local(serve_app(site.settings.clone()));
        // The server binds when it is first polled.
        yield_now().await;
        site
    }

    fn new(settings: AppSettings) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let record = dir.path().join("record");
        Self {
            settings: AppSettings { record, ..settings },
            _dir: dir,
        }
    }

    async fn flaw(&self, flaw: Flaw) {
        let fault = AppFault {
            flaw: Some(flaw),
            share: 1.0,
            ..AppFault::default()
        };
        self.fault(fault).await;
    }

    async fn send(&self, attempt: Attempt) -> Attempt {
        let mut attempts = [attempt];
        let connection = Connection::open(self.settings.listen).await.unwrap();
        connection.exchange(&mut attempts).await;
        let [attempt] = attempts;
        attempt
    }

    fn send_later(&self, mut attempt: Attempt) -> JoinHandle<Attempt> {
        let address = self.settings.listen;
        spawn_local(async move {
            let connection = Connection::open(address).await.unwrap();
            connection
                .exchange(std::slice::from_mut(&mut attempt))
                .await;
            attempt
        })
    }

    /// Returns what was written down of requests and probes.
    fn entries(&self) -> Vec<Entry> {
        let mut entries = read_record(&self.settings.record).unwrap();
        entries.retain(|entry| !matches!(entry.step, Step::Says { .. }));
        entries
    }

    /// Returns what the backend server has said of itself, in order.
    fn sayings(&self) -> Vec<(Option<u32>, bool)> {
        let entries = read_record(&self.settings.record).unwrap().into_iter();
        let said = |entry: Entry| match entry.step {
            Step::Says { limit, leaving } => Some((limit, leaving)),
            Step::Reached { .. }
            | Step::Refused
            | Step::Started(_)
            | Step::Body(_)
            | Step::Flawed
            | Step::Answered(_)
            | Step::Cancelled
            | Step::Probed => None,
        };
        entries.filter_map(said).collect()
    }

    fn steps(&self) -> Vec<Step> {
        self.entries().into_iter().map(|entry| entry.step).collect()
    }

    /// Sends a request with these headers and returns the head of the answer.
    async fn ask(&self, path: &str, headers: &[(&str, &str)]) -> String {
        let mut stream = TcpStream::connect(self.settings.listen).await.unwrap();
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let head = format!("GET {path} HTTP/1.1\r\n{}\r\n", lines.collect::<String>());
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut part = [0; 1024];
        let size = stream.read(&mut part).await.unwrap();
        String::from_utf8_lossy(&part[..size]).into_owned()
    }

    async fn fault(&self, fault: AppFault) {
        let mut stream = TcpStream::connect(self.settings.control).await.unwrap();
        let line = serde_json::to_string(&fault).unwrap() + "\n";
        stream.write_all(line.as_bytes()).await.unwrap();
        let mut ok = [0; 3];
        stream.read_exact(&mut ok).await.unwrap();
        assert_eq!(&ok, b"ok\n");
    }
}

/// Asserts that an answer has a status and this header.
fn assert_head(head: &str, status: u16, name: &str, value: &str) {
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    assert!(head.contains(&format!("{name}: {value}\r\n")), "{head}");
}

fn get(id: &str, path: &str) -> Attempt {
    Attempt {
        id: id.into(),
        method: "GET",
        path: path.into(),
        idempotent: true,
        deadline_ms: 1_000,
        ..Attempt::default()
    }
}

fn post(id: &str, path: &str, size: usize) -> Attempt {
    Attempt {
        method: "POST",
        idempotent: false,
        body: bytes_of(id, size),
        ..get(id, path)
    }
}

#[ntex::test]
async fn a_request_gets_its_own_answer_and_is_written_down() {
    let site = Site::start(settings()).await;
    let before = now_ms();
    let attempt = site.send(get("a1", "/rack/1?work=20&bytes=3000")).await;
    assert_eq!(attempt.told, WHOLE);
    assert!(attempt.ended_ms >= attempt.sent_ms + 20);
    let entries = site.entries();
    let reached = Step::Reached {
        method: "GET".into(),
        path: "/rack/1?work=20&bytes=3000".into(),
        caller: None,
        deadline_ms: Some(1_000),
    };
    let steps = [
        reached,
        Step::Body(digest(b"")),
        Step::Started(20),
        Step::Answered(200),
    ];
    assert_eq!(site.steps(), steps);
    for entry in entries {
        assert_eq!((entry.id.as_str(), entry.server.as_str()), ("a1", "i-1"));
        assert!(entry.at_ms >= before);
    }
}

#[ntex::test]
async fn requests_behind_one_another_are_answered_in_order() {
    let site = Site::start(settings()).await;
    let mut attempts = ["a", "b", "c"].map(|id| get(id, "/rack/?work=5&bytes=90"));
    let connection = Connection::open(site.settings.listen).await.unwrap();
    let kept = connection.exchange(&mut attempts).await;
    assert!(attempts.iter().all(|attempt| attempt.told == WHOLE));
    assert!(kept.unwrap().is_open().unwrap());
}

#[rstest]
#[case(false)]
#[case(true)]
#[ntex::test]
async fn a_body_arrives_unchanged(#[case] chunked: bool) {
    let site = Site::start(settings()).await;
    let attempt = Attempt {
        chunked,
        ..post("b1", "/rack/", 300_000)
    };
    let body = Step::Body(digest(&attempt.body));
    assert_eq!(site.send(attempt).await.told, WHOLE);
    assert!(site.steps().contains(&body));
}

#[rstest]
#[case(WhenFull::Refuse, REFUSED)]
#[case(WhenFull::Reset, Told::Broken)]
#[case(WhenFull::Silent, Told::GaveUp)]
#[ntex::test]
async fn a_full_server_refuses_resets_or_falls_silent(
    #[case] when_full: WhenFull,
    #[case] told: Told,
) {
    let site = Site::start(settings()).await;
    let fault = AppFault {
        when_full,
        ..AppFault::default()
    };
    site.fault(fault).await;
    let others: Vec<_> = (0..4)
        .map(|n| site.send_later(get(&format!("o{n}"), "/rack/?work=200")))
        .collect();
    sleep(Duration::from_millis(100)).await;
    let attempt = Attempt {
        deadline_ms: 300,
        ..post("late", "/rack/", 10)
    };
    assert_eq!(site.send(attempt).await.told, told);
    for other in others {
        assert_eq!(other.await.unwrap().told, WHOLE);
    }
    let of_late = site
        .entries()
        .into_iter()
        .filter(|entry| entry.id == "late");
    let steps: Vec<Step> = of_late.map(|entry| entry.step).collect();
    assert!(
        matches!(steps[..], [Step::Reached { .. }, Step::Refused]),
        "{steps:?}"
    );
}

#[ntex::test]
async fn a_deadline_in_the_queue_is_a_refusal_and_in_a_slot_an_answer() {
    let mut settings = settings();
    settings.slots = 1;
    let site = Site::start(settings).await;
    let running = site.send_later(Attempt {
        deadline_ms: 300,
        ..get("runs", "/rack/?work=900")
    });
    sleep(Duration::from_millis(50)).await;
    let waits = [(HEADERS.request, "waits"), (HEADERS.deadline, "60")];
    let head = site.ask("/rack/", &waits).await;
    assert_head(&head, 503, HEADERS.unexecuted, "1");
    // The client gives up at the same moment at which the server answers.
    running.await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let steps = site.steps();
    let ended = steps.contains(&Step::Answered(504)) || steps.contains(&Step::Cancelled);
    assert!(ended, "{steps:?}");
}

#[ntex::test]
async fn a_request_for_another_instance_is_refused() {
    let site = Site::start(settings()).await;
    let own = [(HEADERS.request, "t1"), (HEADERS.target, "i-1")];
    assert_head(&site.ask("/rack/", &own).await, 200, HEADERS.request, "t1");
    let other = [(HEADERS.request, "t2"), (HEADERS.target, "i-2")];
    assert_head(
        &site.ask("/rack/", &other).await,
        421,
        HEADERS.server,
        "i-1",
    );
    assert_head(&site.ask("/rack/", &[]).await, 400, HEADERS.unexecuted, "1");
    assert!(site.entries().iter().all(|entry| entry.id == "t1"));
}

#[rstest]
#[case::as_the_incident_spells_it(2, 0)]
#[case::as_other_headers_are_spelled(3, 1)]
#[ntex::test]
async fn a_limit_and_leaving_are_said_and_written_down(#[case] seed: u64, #[case] spelling: usize) {
    let site = Site::start(AppSettings { seed, ..settings() }).await;
    let own = [(HEADERS.request, "t1")];
    let silent = site.ask("/rack/", &own).await;
    let [limit, leaving] = [HEADERS.limit[spelling], HEADERS.leaving[spelling]];
    assert!(!silent.contains(limit) && !silent.contains(leaving));
    let fault = AppFault {
        limit: Some(2_500),
        leaving: true,
        ..AppFault::default()
    };
    site.fault(fault).await;
    let head = site.ask("/rack/", &own).await;
    assert_head(&head, 200, limit, "2.5");
    assert_head(&head, 200, leaving, "1");
    assert_eq!(site.sayings(), [(None, false), (Some(2_500), true)]);
}

#[ntex::test]
async fn health_and_load_are_told() {
    let site = Site::start(settings()).await;
    let running = site.send_later(get("h1", "/rack/?work=200"));
    sleep(Duration::from_millis(50)).await;
    let head = site.ask("/health", &[]).await;
    assert_head(&head, 200, HEADERS.load, "1,0,2,100");
    let fault = AppFault {
        leaving: true,
        work_percent: 300,
        ..AppFault::default()
    };
    site.fault(fault).await;
    let head = site.ask("/health", &[]).await;
    assert_head(&head, 503, HEADERS.load, "1,0,2,300");
    assert_eq!(running.await.unwrap().told, WHOLE);
}

#[ntex::test]
async fn a_closed_connection_cancels_its_run() {
    let site = Site::start(settings()).await;
    let attempt = Attempt {
        leave_ms: Some(50),
        ..get("l1", "/rack/?work=500")
    };
    assert_eq!(site.send(attempt).await.told, Told::Left);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(site.steps().last(), Some(&Step::Cancelled));
}

#[ntex::test]
async fn connections_are_bounded_and_end_when_idle() {
    let mut settings = settings();
    settings.connections = 1;
    let site = Site::start(settings).await;
    let mut first = [get("c1", "/rack/")];
    let connection = Connection::open(site.settings.listen).await.unwrap();
    let kept = connection.exchange(&mut first).await.unwrap();
    let second = site.send(get("c2", "/rack/")).await;
    assert!(matches!(second.told, Told::Broken), "{:?}", second.told);
    sleep(Duration::from_millis(600)).await;
    assert!(!kept.is_open().unwrap());
    assert_eq!(site.send(get("c3", "/rack/")).await.told, WHOLE);
}

#[rstest]
#[case(Flaw::Error, answer(500, Some(true)), 1)]
#[case(Flaw::Lost, Told::GaveUp, 1)]
#[case(Flaw::Reset, Told::Broken, 1)]
#[case(Flaw::Truncated, Told::Broken, 1)]
#[case(Flaw::Unframed, WHOLE, 1)]
#[case(Flaw::UnframedReset, Told::Broken, 1)]
#[case(Flaw::Garbled, Told::Garbled, 1)]
#[case(Flaw::Early, WHOLE, 1)]
#[case(Flaw::Shed, REFUSED, 0)]
#[ntex::test]
async fn a_flaw_shows(#[case] flaw: Flaw, #[case] told: Told, #[case] runs: usize) {
    let site = Site::start(settings()).await;
    site.flaw(flaw).await;
    let attempt = post("f1", "/rack/?work=5&bytes=4000", 100_000);
    let body = Step::Body(digest(&attempt.body));
    assert_eq!(site.send(attempt).await.told, told);
    let steps = site.steps();
    let started = steps.iter().filter(|step| matches!(step, Step::Started(_)));
    assert_eq!(started.count(), runs, "{steps:?}");
    assert_eq!(steps.contains(&body), runs > 0, "{steps:?}");
    let run = steps
        .iter()
        .position(|step| matches!(step, Step::Started(_)));
    let early = run < steps.iter().position(|step| *step == body);
    assert_eq!(early, flaw == Flaw::Early, "{steps:?}");
}

#[ntex::test]
async fn an_extra_answer_is_seen_as_stray() {
    let site = Site::start(settings()).await;
    site.flaw(Flaw::Extra).await;
    let mut attempts = [get("e1", "/rack/?bytes=50")];
    let connection = Connection::open(site.settings.listen).await.unwrap();
    let kept = connection.exchange(&mut attempts).await.unwrap();
    assert_eq!(attempts[0].told, WHOLE);
    sleep(Duration::from_millis(50)).await;
    assert!(kept.is_open().is_err());
}

#[ntex::test]
async fn a_late_answer_stands_before_the_next_one() {
    let site = Site::start(settings()).await;
    site.flaw(Flaw::Late).await;
    let mut attempts = ["g1", "g2"].map(|id| get(id, "/rack/?bytes=50"));
    let connection = Connection::open(site.settings.listen).await.unwrap();
    connection.exchange(&mut attempts).await;
    assert_eq!(attempts[0].told, WHOLE);
    assert_eq!(attempts[1].told, answer(200, Some(false)));
}

#[ntex::test]
async fn a_poisonous_request_ends_the_process_and_leaves_the_record() {
    let site = Site::new(settings());
    let listen = site.settings.listen;
    let args = [serde_json::to_string(&site.settings).unwrap()];
    let log = site.settings.record.with_extension("log");
    let mut process = Process::start(&program("app"), &args, &log).unwrap();
    assert!(wait_for_listener(listen, Duration::from_secs(10)).await);
    assert_eq!(
        site.send(get("p1", "/rack/poison")).await.told,
        Told::Broken
    );
    assert_eq!(process.wait(Duration::from_secs(5)).await, Some(86));
    assert_eq!(site.steps().last(), Some(&Step::Started(0)));
}
