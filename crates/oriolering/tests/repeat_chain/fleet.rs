//! A simulated fleet: clients call service 0, and each service calls the next.

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

/// The parameters of a simulated fleet and of its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    /// The maximum number of calls that a run makes to the next service.
    pub(crate) calls: u32,
    pub(crate) requests_per_s: u64,
    pub(crate) fail_percent: u64,
    /// The maximum time from sending a request to its arrival.
    pub(crate) delay_ms: u64,
    /// The number of node restarts.
    pub(crate) restarts: u64,
    /// Whether some node lists contain fewer nodes than there are.
    pub(crate) short_lists: bool,
    pub(crate) seed: u64,
}

/// The requests and repeats of all services, as pairs of service and time.
pub(crate) struct History {
    pub(crate) services: usize,
    /// The requests that were not made by a repeated run, with the time when they were sent.
    pub(crate) requests: Vec<(usize, u64)>,
    /// The repeated arrivals, and all arrivals of requests that a repeated run made.
    pub(crate) repeats: Vec<(usize, u64)>,
}

/// A request in flight.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    service: usize,
    /// The node where the request entered, and the number of its restarts at that time.
    entry_node: usize,
    restarts: u32,
    attempts: u32,
    /// Whether the next arrival counts as a repeat, which is reserved at its entry node.
    reserved: bool,
    is_call: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Client,
    Arrive(Request),
    Ended { request: Request, failed: bool },
    Restart,
    NodeList,
}

struct Node {
    budgets: RepeatBudgets,
    restarts: u32,
}

struct Fleet {
    load: Load,
    rng: SmallRng,
    now: u64,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    history: History,
}

/// Simulates a load and returns what arrived.
pub(crate) fn simulate(load: Load) -> History {
    let mut fleet = Fleet::new(load);
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        fleet.now = now;
        match event {
            Event::Client => fleet.send_client_request(),
            Event::Arrive(request) => fleet.arrive(request),
            Event::Ended { request, failed } => fleet.end_run(request, failed),
            Event::Restart => fleet.restart(),
            Event::NodeList => fleet.receive_node_list(),
        }
    }
    fleet.history
}

impl Fleet {
    fn new(load: Load) -> Self {
        let node = |_| {
            let mut budgets = RepeatBudgets::new(Millis(0), BOUND, true);
            budgets.observe_nodes(load.nodes as u64);
            Node {
                budgets,
                restarts: 0,
            }
        };
        let mut fleet = Self {
            load,
            rng: SmallRng::seed_from_u64(load.seed),
            now: 0,
            nodes: (0..load.nodes).map(node).collect(),
            events: BinaryHeap::new(),
            history: History {
                services: load.services,
                requests: Vec::new(),
                repeats: Vec::new(),
            },
        };
        for _ in 0..DURATION_MS / 1_000 * load.requests_per_s {
            fleet.schedule_at_random_time(Event::Client);
        }
        (0..load.restarts).for_each(|_| fleet.schedule_at_random_time(Event::Restart));
        let lists = if load.short_lists { 200 } else { 0 };
        (0..lists).for_each(|_| fleet.schedule_at_random_time(Event::NodeList));
        fleet
    }

    fn schedule_at_random_time(&mut self, event: Event) {
        let at = self.rng.random_range(0..DURATION_MS);
        self.events.push(Reverse((at, event)));
    }

    fn schedule_within(&mut self, max_ms: u64, event: Event) {
        let at = self.now + self.rng.random_range(1..=max_ms);
        self.events.push(Reverse((at, event)));
    }

    fn send_client_request(&mut self) {
        let entry_node = self.rng.random_range(0..self.load.nodes);
        self.enter(entry_node, 0, false);
    }

    /// Accepts a request at the node where it enters.
    fn enter(&mut self, entry_node: usize, service: usize, is_call_of_repeat: bool) {
        let now = Millis(self.now);
        let node = &mut self.nodes[entry_node];
        if !is_call_of_repeat {
            node.budgets.deposit(now, name(service));
            self.history.requests.push((service, self.now));
        }
        let request = Request {
            service,
            entry_node,
            restarts: node.restarts,
            attempts: 0,
            reserved: is_call_of_repeat,
            is_call: is_call_of_repeat,
        };
        self.send(request);
    }

    fn send(&mut self, mut request: Request) {
        request.attempts += 1;
        let delay = self.load.delay_ms;
        self.schedule_within(delay, Event::Arrive(request));
    }

    /// Handles the arrival of a request at a gate, which runs it with its calls or refuses it.
    fn arrive(&mut self, request: Request) {
        let now = Millis(self.now);
        let hosts = self.load.nodes / self.load.services;
        let gate = request.service + self.rng.random_range(0..hosts) * self.load.services;
        let budgets = &mut self.nodes[gate].budgets;
        let route = request.service as u64;
        let reserved = match request.reserved {
            true => budgets.reserve_calls(now, route),
            false => Some(ServiceCalls::new()),
        };
        let Some(mut reserved) = reserved else {
            return self.settle(request, false);
        };
        if request.reserved {
            self.history.repeats.push((request.service, self.now));
        }
        let called = request.service + 1;
        let calls = match called < self.load.services {
            true => self.rng.random_range(0..=self.load.calls),
            false => 0,
        };
        for _ in 0..calls {
            if request.reserved {
                use_reserved_call(&mut self.nodes[gate].budgets, &mut reserved, called);
            }
            self.enter(gate, called, request.reserved);
        }
        let budgets = &mut self.nodes[gate].budgets;
        budgets.release_calls(now, &reserved);
        if calls > 0 {
            let made = ServiceCalls::from_elem((name(called).into(), calls), 1);
            budgets.record_calls(route, &made);
        }
        let failed = self.rng.random_range(0..100) < self.load.fail_percent;
        self.schedule_within(RUN_MS, Event::Ended { request, failed });
    }

    fn end_run(&mut self, request: Request, failed: bool) {
        self.settle(request, true);
        let node = &mut self.nodes[request.entry_node];
        if node.restarts != request.restarts || !failed || request.attempts >= ATTEMPTS {
            return;
        }
        let now = Millis(self.now);
        if node.budgets.reserve(now, name(request.service)) {
            self.send(Request {
                reserved: true,
                is_call: false,
                ..request
            });
        }
    }

    /// Tells the entry node of a request whether the repeat that it reserved arrived.
    fn settle(&mut self, request: Request, arrived: bool) {
        let node = &mut self.nodes[request.entry_node];
        if !request.reserved || node.restarts != request.restarts {
            return;
        }
        let (now, service) = (Millis(self.now), name(request.service));
        match arrived {
            true => node.budgets.record_arrival(now, service, request.is_call),
            false => node.budgets.release(now, service),
        }
    }

    /// Restarts a random node, which first receives the complete list of nodes.
    fn restart(&mut self) {
        let index = self.rng.random_range(0..self.load.nodes);
        let mut budgets = RepeatBudgets::new(Millis(self.now), BOUND, false);
        budgets.observe_nodes(self.load.nodes as u64);
        let node = &mut self.nodes[index];
        node.budgets = budgets;
        node.restarts += 1;
    }

    fn receive_node_list(&mut self) {
        let index = self.rng.random_range(0..self.load.nodes);
        let listed = self.rng.random_range(1..=self.load.nodes);
        self.nodes[index].budgets.observe_nodes(listed as u64);
    }
}

/// Uses one of the calls that a repeated run has reserved.
fn use_reserved_call(budgets: &mut RepeatBudgets, reserved: &mut ServiceCalls, service: usize) {
    match reserved.iter_mut().find(|(_, calls)| *calls > 0) {
        Some((_, calls)) => *calls -= 1,
        None => budgets.force_reserve(Millis(0), name(service)),
    }
}

fn name(service: usize) -> &'static str {
    const NAMES: [&str; 11] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"];
    NAMES[service]
}
