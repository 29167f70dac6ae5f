//! Demonstrates the whole path with separate processes and real traffic, in under a minute.

// The HTTP client's connector is a chain of generic services, too deep for the default limit.
#![recursion_limit = "256"]

use std::collections::BTreeMap;
use std::io;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use oriolering_bench::{
    Call, Caller, Fault, Fleet, FleetPlan, Mix, Report, Signal, Told, check_history, http_get,
    run_load,
};
use serde_json::json;

const SERVICE: &str = "rack";
const SERVERS: usize = 5;
const RATE: f64 = 400.0;
const PHASE_S: u64 = 5;
const DOWN: Duration = Duration::from_millis(1_500);
const HARM_AT: Duration = Duration::from_millis(1_000);
const LATE: Duration = Duration::from_millis(1_000);
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

/// The counters of a node that tell of decisions, as the scrape names them.
const DECISIONS: [&str; 6] = [
    "retries_total",
    "hedges_total",
    "refusals_total",
    "inquiries_total",
    "collected_total",
    "backend_deaths_total",
];

/// What happens to the fleet while calls arrive; the member is given by its number.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    Straggle(usize),
    Kill(usize),
    Drain(usize),
}

impl Event {
    fn title(self) -> &'static str {
        match self {
            Self::Nothing => "normal traffic",
            Self::Straggle(_) => "one backend server ten times slower",
            Self::Kill(_) => "one backend server killed and returned",
            Self::Drain(_) => "one node and its backend server drained",
        }
    }

    async fn run(self, fleet: &mut Fleet) -> io::Result<()> {
        tokio::time::sleep(HARM_AT).await;
        match self {
            Self::Nothing => {}
            Self::Straggle(number) => {
                let fault = Fault {
                    straggle: 10.0,
                    ..Fault::default()
                };
                fleet.members[number].set_fault(fault).await;
            }
            Self::Kill(number) => {
                fleet.members[number].server.kill();
                tokio::time::sleep(DOWN).await;
                fleet.members[number].restart_server()?;
            }
            Self::Drain(number) => drain(fleet, number).await?,
        }
        Ok(())
    }

    /// Ends the fault that the event put in force.
    async fn end(self, fleet: &Fleet) {
        if let Self::Straggle(number) = self {
            fleet.members[number].set_fault(Fault::default()).await;
        }
    }
}

/// Lists a member as leaving, tells its node to stop and waits until it has.
async fn drain(fleet: &mut Fleet, number: usize) -> io::Result<()> {
    let id = fleet.members[number].id.clone();
    let state = |id: &CompactString, other: &CompactString| match id == other {
        true => "leaving",
        false => "live",
    };
    fleet.list(|member| state(&id, &member.id)).await;
    let node = &mut fleet.members[number].node;
    node.signal(Signal::Terminate);
    match node.wait(DRAIN_LIMIT).await {
        Some(0) => Ok(()),
        ended => Err(io::Error::other(format!("{id} did not drain: {ended:?}"))),
    }
}

/// The sum of each counter over all nodes.
type Counters = BTreeMap<&'static str, u64>;

/// Reads the counters of every node that answers.
async fn read_counters(fleet: &Fleet) -> Vec<Counters> {
    let mut all = Vec::new();
    for member in &fleet.members {
        let text = match http_get(member.admin, "/metrics").await {
            Some((200, body)) => String::from_utf8_lossy(&body).into_owned(),
            Some(_) | None => String::new(),
        };
        let counters = DECISIONS.map(|name| (name, scan_counter(&text, name)));
        all.push(counters.into_iter().collect());
    }
    all
}

/// Returns the sum of a counter over its labels.
fn scan_counter(text: &str, name: &str) -> u64 {
    let samples = text.lines().filter_map(|line| line.strip_prefix(name));
    let values = samples.filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}

/// Returns what was counted between two readings; a node that has ended counts nothing.
fn difference(before: &[Counters], after: &[Counters]) -> Counters {
    let mut sum = Counters::new();
    for (before, after) in before.iter().zip(after) {
        for (name, count) in after {
            *sum.entry(name).or_default() += count.saturating_sub(before[name]);
        }
    }
    sum
}

fn print_phase(event: Event, calls: &[Call], decided: &Counters) {
    println!("\n{}", event.title());
    println!("  {}", Report::new(calls));
    let named = decided
        .iter()
        .map(|(name, count)| format!("{} {count}", name.trim_end_matches("_total")));
    println!("  decided: {}", named.collect::<Vec<_>>().join(", "));
}

/// Returns whether the caller learned nothing, or something false, about its request.
fn is_lost(call: &Call) -> bool {
    match call.told {
        Told::Answer | Told::Refused(..) | Told::Status(_) => false,
        Told::WrongAnswer | Told::Cut | Told::Unsent | Told::Broken | Told::GaveUp => true,
    }
}

async fn run_phase(fleet: &mut Fleet, event: Event, seed: u64) -> io::Result<Vec<Call>> {
    let mut mix = Mix::new(RATE, PHASE_S);
    if let Event::Drain(_) = event {
        // Callers leave the member that is being drained, which is the first.
        mix.entries = SERVERS - 1;
    }
    let arrivals = mix.arrivals(fleet, seed);
    let before = read_counters(fleet).await;
    let start = Instant::now();
    let caller = Caller::new(start);
    let (calls, ended) = tokio::join!(run_load(&caller, start, arrivals), event.run(fleet));
    ended?;
    event.end(fleet).await;
    let after = read_counters(fleet).await;
    print_phase(event, &calls, &difference(&before, &after));
    Ok(calls)
}

async fn run() -> io::Result<bool> {
    let plan = FleetPlan::new(SERVICE, SERVERS).settings(json!({
        "deadline_ms": 2_000,
        "hedge": { "percent": 5, "after_ms": 60 },
    }));
    let mut fleet = Fleet::start(&plan).await?;
    println!("{SERVERS} backend servers with a node beside each; {RATE} calls a second, half of");
    println!("them POST, which never run twice; every answer is checked to its last byte");
    let events = [
        Event::Nothing,
        Event::Straggle(2),
        Event::Kill(1),
        Event::Drain(0),
    ];
    let mut calls = Vec::new();
    for (number, event) in events.into_iter().enumerate() {
        calls.extend(run_phase(&mut fleet, event, number as u64 + 1).await?);
    }
    tokio::time::sleep(LATE).await;
    let violations = check_history(&calls, &fleet.runs()?);
    let lost = calls.iter().filter(|call| is_lost(call)).count();
    println!("\n{} calls, {lost} lost", calls.len());
    println!("promises broken: {}", violations.len());
    for violation in violations.iter().take(10) {
        println!("  {violation}");
    }
    Ok(lost == 0 && violations.is_empty())
}

#[ntex::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
