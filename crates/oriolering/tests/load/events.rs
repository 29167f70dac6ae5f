//! The event queue of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolering::GateLoad;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A caller sends a request.
    Call,
    /// A caller sends the refused request `call` again.
    Return { call: usize },
    /// A caller closes its connection.
    Leave { call: usize },
    /// A request reaches a gate.
    Offer {
        call: usize,
        gate: usize,
        work_ms: u64,
        elsewhere_ms: Option<u64>,
    },
    /// A refusal reaches the ingress.
    Refused {
        call: usize,
        gate: usize,
        load: GateLoad,
    },
    /// A run may have ended.
    End { call: usize, gate: usize },
    /// A response reaches the ingress.
    Answer {
        call: usize,
        gate: usize,
        load: GateLoad,
        ran_ms: u64,
        percent: u32,
    },
    /// An ingress checks whether a request that may run at a gate is worth a second run.
    CheckRun { call: usize, gate: usize },
    /// A gate learns that its response is no longer needed.
    Cancel { call: usize, gate: usize },
    /// The deadline of the caller passes.
    Expire { call: usize },
    /// A gate has to process its queue.
    Wake { gate: usize },
    /// All gates measure the speed of their backend servers.
    Probe,
    /// Another set of backend servers becomes slow.
    ChangeSlow,
    /// A load hint reaches the ingresses.
    Hint { gate: usize, load: GateLoad },
}

/// The pending events, ordered by time and then by insertion.
#[derive(Default)]
pub(crate) struct Events {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    all: Vec<Event>,
}

impl Events {
    pub(crate) fn add(&mut self, at: u64, event: Event) {
        self.heap.push(Reverse((at, self.all.len())));
        self.all.push(event);
    }

    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, index)) = self.heap.pop()?;
        Some((at, self.all[index]))
    }
}
