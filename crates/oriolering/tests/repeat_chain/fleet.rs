//! A fleet in its own time: service 0 is called by clients, and each service calls the next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolering::{Millis, RepeatBound, RepeatBudgets, ServiceCalls};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const PERCENT: u64 = 20;
pub(crate) const SLACK: u64 = 30;
pub(crate) const WINDOW_MS: u64 = 4_000;
const DURATION_MS: u64 = 30_000;
const RUN_MS: u64 = 100;
const ATTEMPTS: u32 = 3;
const BOUND: RepeatBound = RepeatBound {
    percent: PERCENT,
    slack: SLACK,
    window_ms: WINDOW_MS,
};

/// What a fleet is and bears.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    /// The calls that each run makes to the next service.
    pub(crate) calls: u32,
    pub(crate) requests_per_s: u64,
    pub(crate) fail_percent: u64,
    /// The longest time from a decision to the arrival that it brings.
    pub(crate) delay_ms: u64,
    /// How often some node starts again.
    pub(crate) starts: u64,
    /// Whether lists name fewer nodes than there are, at times.
    pub(crate) short_lists: bool,
    pub(crate) seed: u64,
}

/// What the backend servers saw: services and times.
pub(crate) struct Played {
    pub(crate) services: usize,
    /// The requests that no repeated run made, as they were sent.
    pub(crate) requests: Vec<(usize, u64)>,
    /// The arrivals beyond the first, and all arrivals of what a repeated run made.
    pub(crate) repeats: Vec<(usize, u64)>,
}

/// A request on its way.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    service: usize,
    /// The node where it entered, and how often that had started then.
    entry: usize,
    starts: u32,
    attempts: u32,
    /// Whether the next arrival counts as a repeat, which is held at the entry.
    held: bool,
    is_call: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Client,
    Arrive(Request),
    Ended { request: Request, failed: bool },
    Start,
    List,
}

struct Node {
    books: RepeatBudgets,
    starts: u32,
}

struct Fleet {
    load: Load,
    rng: SmallRng,
    now: u64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    played: Played,
}

/// Plays a load.
pub(crate) fn play(load: Load) -> Played {
    let mut fleet = Fleet::new(load);
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        fleet.now = now;
        match event {
            Event::Client => fleet.client(),
            Event::Arrive(request) => fleet.arrive(request),
            Event::Ended { request, failed } => fleet.ended(request, failed),
            Event::Start => fleet.start(),
            Event::List => fleet.list(),
        }
    }
    fleet.played
}

impl Fleet {
    fn new(load: Load) -> Self {
        let node = |_| {
            let mut books = RepeatBudgets::new(Millis(0), BOUND, true);
            books.observe_nodes(load.nodes as u64);
            Node { books, starts: 0 }
        };
        let mut fleet = Self {
            load,
            rng: SmallRng::seed_from_u64(load.seed),
            now: 0,
            nodes: (0..load.nodes).map(node).collect(),
            events: BinaryHeap::new(),
            played: Played {
                services: load.services,
                requests: Vec::new(),
                repeats: Vec::new(),
            },
        };
        for _ in 0..DURATION_MS / 1_000 * load.requests_per_s {
            fleet.add_any_time(Event::Client);
        }
        (0..load.starts).for_each(|_| fleet.add_any_time(Event::Start));
        let lists = if load.short_lists { 200 } else { 0 };
        (0..lists).for_each(|_| fleet.add_any_time(Event::List));
        fleet
    }

    fn add_any_time(&mut self, event: Event) {
        let at = self.rng.random_range(0..DURATION_MS);
        self.events.push(Reverse((at, event)));
    }

    fn add_later(&mut self, most_ms: u64, event: Event) {
        let at = self.now + self.rng.random_range(1..=most_ms);
        self.events.push(Reverse((at, event)));
    }

    fn client(&mut self) {
        let entry = self.rng.random_range(0..self.load.nodes);
        self.enter(entry, 0, false);
    }

    /// Takes a request at the node where it enters.
    fn enter(&mut self, entry: usize, service: usize, is_call_of_repeat: bool) {
        let now = Millis(self.now);
        let node = &mut self.nodes[entry];
        if !is_call_of_repeat {
            node.books.deposit(now, name(service));
            self.played.requests.push((service, self.now));
        }
        let request = Request {
            service,
            entry,
            starts: node.starts,
            attempts: 0,
            held: is_call_of_repeat,
            is_call: is_call_of_repeat,
        };
        self.send(request);
    }

    fn send(&mut self, mut request: Request) {
        request.attempts += 1;
        let delay = self.load.delay_ms;
        self.add_later(delay, Event::Arrive(request));
    }

    /// Takes a request at a gate, which runs it with its calls or refuses it.
    fn arrive(&mut self, request: Request) {
        let now = Millis(self.now);
        let hosts = self.load.nodes / self.load.services;
        let gate = request.service + self.rng.random_range(0..hosts) * self.load.services;
        let books = &mut self.nodes[gate].books;
        let route = request.service as u64;
        let held = match request.held {
            true => books.reserve_calls(now, route),
            false => Some(ServiceCalls::new()),
        };
        let Some(mut held) = held else {
            return self.settle(request, false);
        };
        if request.held {
            self.played.repeats.push((request.service, self.now));
        }
        let called = request.service + 1;
        let calls = match called < self.load.services {
            true => self.rng.random_range(0..=self.load.calls),
            false => 0,
        };
        for _ in 0..calls {
            if request.held {
                take(&mut self.nodes[gate].books, &mut held, called);
            }
            self.enter(gate, called, request.held);
        }
        let books = &mut self.nodes[gate].books;
        books.release_calls(now, &held);
        if calls > 0 {
            let made = ServiceCalls::from_elem((name(called).into(), calls), 1);
            books.record_calls(route, &made);
        }
        let failed = self.rng.random_range(0..100) < self.load.fail_percent;
        self.add_later(RUN_MS, Event::Ended { request, failed });
    }

    fn ended(&mut self, request: Request, failed: bool) {
        self.settle(request, true);
        let node = &mut self.nodes[request.entry];
        if node.starts != request.starts || !failed || request.attempts >= ATTEMPTS {
            return;
        }
        let now = Millis(self.now);
        if node.books.reserve(now, name(request.service)) {
            self.send(Request {
                held: true,
                is_call: false,
                ..request
            });
        }
    }

    /// Tells the node where a request entered whether the repeat that it held arrived.
    fn settle(&mut self, request: Request, arrived: bool) {
        let node = &mut self.nodes[request.entry];
        if !request.held || node.starts != request.starts {
            return;
        }
        let (now, service) = (Millis(self.now), name(request.service));
        match arrived {
            true => node.books.record_arrival(now, service, request.is_call),
            false => node.books.release(now, service),
        }
    }

    /// Starts some node again; it sees the whole list at first.
    fn start(&mut self) {
        let index = self.rng.random_range(0..self.load.nodes);
        let mut books = RepeatBudgets::new(Millis(self.now), BOUND, false);
        books.observe_nodes(self.load.nodes as u64);
        let node = &mut self.nodes[index];
        node.books = books;
        node.starts += 1;
    }

    fn list(&mut self) {
        let index = self.rng.random_range(0..self.load.nodes);
        let named = self.rng.random_range(1..=self.load.nodes);
        self.nodes[index].books.observe_nodes(named as u64);
    }
}

/// Takes one of the calls that a repeated run holds.
fn take(books: &mut RepeatBudgets, held: &mut ServiceCalls, service: usize) {
    match held.iter_mut().find(|(_, calls)| *calls > 0) {
        Some((_, calls)) => *calls -= 1,
        None => books.force_reserve(Millis(0), name(service)),
    }
}

fn name(service: usize) -> &'static str {
    const NAMES: [&str; 11] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"];
    NAMES[service]
}
