//! Open-loop load: arrivals do not wait for answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use crate::call::{Call, Request};
use crate::caller::Caller;

const DRAIN_POLL: Duration = Duration::from_millis(5);

/// An arrival: when a request should be sent since the start, and its label.
pub struct Arrival {
    /// The time since the start of the load.
    pub at: Duration,
    /// A label that the finished call carries.
    pub label: u8,
    /// The request.
    pub request: Request,
}

/// Returns Poisson arrival times of `rate` a second until `end`.
pub fn poisson_times(seed: u64, rate: f64, end: Duration) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        at += draw_exponential(&mut rng, 1.0 / rate);
        if at >= end.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Draws from the exponential distribution with this mean.
pub fn draw_exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * mean
}

/// Sends every arrival at its time and returns all calls when the last has ended.
///
/// A thread of its own keeps the time, so a busy client delays no arrival unseen: latency
/// counts from the intended time.
pub async fn run_load(caller: &Caller, start: Instant, arrivals: Vec<Arrival>) -> Vec<Call> {
    let total = arrivals.len();
    let calls = Rc::new(RefCell::new(Vec::with_capacity(total)));
    let mut due = pace(start, arrivals);
    while let Some(arrival) = due.recv().await {
        let caller = caller.clone();
        let calls = calls.clone();
        ntex::rt::spawn(async move {
            let Arrival { at, label, request } = arrival;
            let call = caller.send_at(&request, at, label).await;
            calls.borrow_mut().push(call);
        });
    }
    while calls.borrow().len() < total {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    calls.take()
}

fn pace(start: Instant, arrivals: Vec<Arrival>) -> mpsc::UnboundedReceiver<Arrival> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for arrival in arrivals {
            let wait = (start + arrival.at).saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                std::thread::sleep(wait);
            }
            if sender.send(arrival).is_err() {
                return;
            }
        }
    });
    receiver
}
