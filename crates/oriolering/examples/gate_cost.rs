//! Prints what the gate costs: processor time for each call and memory for each session.

use std::hint::black_box;
use std::time::Instant;

use oriolering::{
    CallId, Decision, Finish, Gate, GateEvent, GateSettings, Grant, Incarnation, Millis, Offer,
    SessionTable,
};

const CALLS: u64 = 1_000_000;
const SESSIONS: u32 = 1_000;
const WINDOW: u32 = 4_096;

const SETTINGS: GateSettings = GateSettings {
    initial: 12,
    min: 1,
    max: 64,
    queue_length: 64,
    queue_wait_ms: 1_000,
    ramp_ms: 0,
    sessions: SESSIONS,
    max_state_runs: WINDOW,
};

fn offer(grant: Grant, seq: u64, customer: u64, now: Millis) -> Offer {
    Offer {
        id: CallId { grant, seq },
        ack: seq.saturating_sub(32),
        customer,
        deadline: now + 1_000,
        fingerprint: seq,
    }
}

/// Returns the nanoseconds for a call that finds a free slot.
fn cost_free(sessions: u32) -> f64 {
    let mut gate = Gate::new(SETTINGS, Incarnation(1), Millis(0));
    let grants: Vec<Grant> = (0..sessions)
        .map(|_| gate.open_session(Millis(0)))
        .collect();
    let started = Instant::now();
    for call in 0..CALLS {
        let now = Millis(call / 1_000);
        let grant = grants[(call % u64::from(sessions)) as usize];
        let seq = call / u64::from(sessions) + 1;
        if let Decision::Start(ticket) = gate.offer(now, offer(grant, seq, 0, now)) {
            black_box(gate.dispatch(now, ticket).is_ok());
            gate.finish(now, ticket, Finish::Done { latency_us: 5_000 });
        }
        black_box(gate.next_event(now));
        black_box(gate.load(now));
    }
    started.elapsed().as_nanos() as f64 / CALLS as f64
}

/// Returns the nanoseconds for a call that waits behind `depth` others of many customers.
fn cost_queued(depth: u64) -> f64 {
    let fixed = GateSettings {
        min: 12,
        max: 12,
        ..SETTINGS
    };
    let mut gate = Gate::new(fixed, Incarnation(1), Millis(0));
    let grant = gate.open_session(Millis(0));
    let mut running = Vec::new();
    let mut seq = 0;
    for _ in 0..12 + depth {
        seq += 1;
        let offered = gate.offer(Millis(0), offer(grant, seq, seq % 16, Millis(0)));
        if let Decision::Start(ticket) = offered {
            black_box(gate.dispatch(Millis(0), ticket).is_ok());
            running.push(ticket);
        }
    }
    let started = Instant::now();
    for call in 0..CALLS {
        let now = Millis(call / 1_000);
        let ticket = running.swap_remove((call % running.len() as u64) as usize);
        gate.finish(now, ticket, Finish::Done { latency_us: 5 });
        seq += 1;
        black_box(gate.offer(now, offer(grant, seq, seq % 16, now)));
        while let Some(event) = gate.next_event(now) {
            if let GateEvent::Start(ticket) = event {
                black_box(gate.dispatch(now, ticket).is_ok());
                running.push(ticket);
            }
        }
    }
    started.elapsed().as_nanos() as f64 / CALLS as f64
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns a ledger whose sessions have `runs` runs of states, and the bytes that each session
/// takes.
fn fill_sessions(runs: u64) -> (SessionTable, u64) {
    let before = resident();
    let mut ledger = SessionTable::new(Incarnation(1), SESSIONS, WINDOW);
    for _ in 0..SESSIONS {
        let grant = ledger.open();
        for seq in (2..=runs).step_by(2) {
            black_box(ledger.admit(CallId { grant, seq }, 0).is_ok());
        }
    }
    let used = resident().saturating_sub(before) / u64::from(SESSIONS);
    (ledger, used)
}

fn main() {
    println!("bytes per session, {SESSIONS} sessions");
    let mut ledgers = Vec::new();
    for runs in [0, 32, 256, u64::from(WINDOW)] {
        let (ledger, bytes) = fill_sessions(runs);
        ledgers.push(ledger);
        println!("  {runs:>5} runs of states  {bytes:>8}");
    }
    println!("ns per offer, dispatch, finish, event and load report");
    for sessions in [1, 100, SESSIONS] {
        println!(
            "  {sessions:>5} sessions        {:>8.0}",
            cost_free(sessions)
        );
    }
    println!("ns per call that waits, 16 customers");
    for depth in [1, 16, 60] {
        println!("  {depth:>5} calls ahead     {:>8.0}", cost_queued(depth));
    }
}
