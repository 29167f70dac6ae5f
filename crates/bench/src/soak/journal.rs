//! All that a soak saw from outside: attempts, records of backend servers, faults and changes.

use std::collections::HashMap;

use compact_str::CompactString;

use super::app_call::scan_call;
use super::client::Attempt;
use super::record::{Entry, Step};

/// How long the soak itself may stand still, in milliseconds; half of the least slack of a rule
/// that it measures with its own clock.
const STALL_MS: u64 = 250;
/// What such a span is called.
const STALL: &str = "the soak stood still";

/// A span in which a machine, or all of them, did not run undisturbed.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The machine; `None` stands for the store and with it all machines.
    pub machine: Option<usize>,
    /// The begin, in Unix milliseconds.
    pub from_ms: u64,
    /// The end, in Unix milliseconds.
    pub to_ms: u64,
    /// Whether it is planned work: a node was told to end.
    pub planned: bool,
    /// What was done.
    pub what: CompactString,
}

/// A span in which a backend server did not run, though its connections stayed open.
#[derive(Clone, Debug)]
pub struct Freeze {
    /// The backend server.
    pub server: CompactString,
    /// The begin, in Unix milliseconds.
    pub from_ms: u64,
    /// The end, in Unix milliseconds.
    pub to_ms: u64,
}

/// What the answers of a backend server say of it from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Saying {
    /// The time, in Unix milliseconds.
    pub at_ms: u64,
    /// The limit, in thousandths of a request a second.
    pub limit: Option<u32>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// A configuration: which services each prefix leads to.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version.
    pub version: u64,
    /// When it was sent to the store, in Unix milliseconds.
    pub sent_ms: u64,
    /// When the store had it, in Unix milliseconds.
    pub ack_ms: u64,
    /// The services by prefix.
    pub routes: HashMap<CompactString, Vec<CompactString>>,
}

/// An arrival of an attempt at a backend server.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The backend server.
    pub server: CompactString,
    /// Its service.
    pub service: CompactString,
    /// When it arrived, in Unix milliseconds.
    pub reached_ms: u64,
    /// The method that arrived.
    pub method: CompactString,
    /// The path that arrived.
    pub path: CompactString,
    /// The caller's service that arrived.
    pub caller: Option<CompactString>,
    /// The deadline that arrived, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The digest of the body, if the whole of it arrived.
    pub body: Option<CompactString>,
    /// When it began to run.
    pub started_ms: Option<u64>,
    /// Whether its answer had a flaw.
    pub flawed: bool,
    /// How long it takes, in milliseconds.
    pub work_ms: u64,
    /// When the run ended, with its status if it was not cancelled.
    pub ended: Option<(u64, Option<u16>)>,
}

impl Run {
    /// Returns whether a run that has begun at one time lasts to another one, if left alone.
    pub(crate) fn would_last(&self, begun_ms: u64, to_ms: u64) -> bool {
        let started = self.started_ms.filter(|ms| *ms <= begun_ms);
        started.is_some_and(|ms| ms + self.work_ms > to_ms)
    }

    fn add(&mut self, entry: &Entry) {
        match &entry.step {
            Step::Started(work_ms) => {
                self.started_ms = Some(entry.at_ms);
                self.work_ms = *work_ms;
            }
            Step::Flawed => self.flawed = true,
            Step::Body(digest) => self.body = Some(digest.clone()),
            Step::Answered(status) => self.ended = Some((entry.at_ms, Some(*status))),
            Step::Cancelled => self.ended = Some((entry.at_ms, None)),
            Step::Refused | Step::Reached { .. } | Step::Probed | Step::Says { .. } => {}
        }
    }
}

/// All that a soak saw.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// The seed of the soak.
    pub seed: u64,
    /// The attempts of all clients.
    pub attempts: Vec<Attempt>,
    /// The arrivals at backend servers by attempt.
    pub runs: HashMap<CompactString, Vec<Run>>,
    /// The machine of each backend server.
    pub hosts: HashMap<CompactString, usize>,
    /// The spans of disruption.
    pub disruptions: Vec<Disruption>,
    /// The spans in which a backend server had a fault; its node ran on.
    pub faults: Vec<Disruption>,
    /// The spans in which a backend server was frozen.
    pub freezes: Vec<Freeze>,
    /// When the health of each backend server was asked for, in order.
    pub probes: HashMap<CompactString, Vec<u64>>,
    /// What each backend server said of itself, in order; each start says something.
    pub sayings: HashMap<CompactString, Vec<Saying>>,
    /// When the store had it that a backend server leaves or is gone.
    pub leavings: HashMap<CompactString, u64>,
    /// The configurations in order.
    pub configurations: Vec<Configuration>,
    /// The starts of nodes: machine and time.
    pub starts: Vec<(usize, u64)>,
    /// When the soak itself was last seen to run.
    pub ticked_ms: Option<u64>,
    /// When the start or end of a process held up the soak's only thread, in Unix milliseconds.
    pub held: Vec<(u64, u64)>,
    /// When all nodes were killed at the end, and when they ran again.
    pub closing: Option<(u64, u64)>,
}

impl Journal {
    /// Adds the record of one backend server, in the order in which it was written.
    pub fn add_record(&mut self, entries: &[Entry]) {
        let mut open: HashMap<(&str, u64), (CompactString, Run)> = HashMap::new();
        for entry in entries {
            let key = (entry.server.as_str(), entry.arrival);
            let ended = match entry.step {
                // A restarted backend server numbers its arrivals anew.
                Step::Reached { .. } => open.insert(key, (entry.id.clone(), reached(entry))),
                Step::Probed => {
                    let probes = self.probes.entry(entry.server.clone()).or_default();
                    probes.push(entry.at_ms);
                    None
                }
                Step::Says { limit, leaving } => {
                    let sayings = self.sayings.entry(entry.server.clone()).or_default();
                    sayings.push(Saying {
                        at_ms: entry.at_ms,
                        limit,
                        leaving,
                    });
                    None
                }
                Step::Refused
                | Step::Started(_)
                | Step::Body(_)
                | Step::Flawed
                | Step::Answered(_)
                | Step::Cancelled => {
                    if let Some((_, run)) = open.get_mut(&key) {
                        run.add(entry);
                    }
                    None
                }
            };
            self.keep(ended);
        }
        open.into_values().for_each(|run| self.keep(Some(run)));
    }

    fn keep(&mut self, ended: Option<(CompactString, Run)>) {
        if let Some((id, run)) = ended {
            self.runs.entry(id).or_default().push(run);
        }
    }

    /// Notes that the soak itself runs; where it stood still, nothing that it measures by its
    /// clock says anything of the nodes.
    pub fn tick(&mut self, now_ms: u64) {
        let last_ms = self.ticked_ms.replace(now_ms).unwrap_or(now_ms);
        if now_ms > last_ms + STALL_MS {
            self.disruptions.push(Disruption {
                machine: None,
                from_ms: last_ms,
                to_ms: now_ms,
                planned: false,
                what: STALL.into(),
            });
        }
    }

    /// Returns how often the soak itself stood still.
    pub(crate) fn stalls(&self) -> usize {
        self.disruptions.iter().filter(|d| d.what == STALL).count()
    }

    /// Returns how often the soak stood still while processes started or ended for most of it.
    pub fn explained_stalls(&self) -> usize {
        let stalls = self.disruptions.iter().filter(|d| d.what == STALL);
        let held_ms = |stall: &Disruption| -> u64 {
            let (from_ms, to_ms) = (stall.from_ms, stall.to_ms);
            let parts = self.held.iter().map(|(from, to)| {
                let begin = (*from).max(from_ms);
                (*to).min(to_ms).saturating_sub(begin)
            });
            parts.sum()
        };
        let is_held = |stall: &&Disruption| held_ms(stall) * 2 > stall.to_ms - stall.from_ms;
        stalls.filter(is_held).count()
    }

    /// Returns how often a backend server named a limit.
    pub(crate) fn limits(&self) -> usize {
        let sayings = self.sayings.values().flatten();
        sayings.filter(|saying| saying.limit.is_some()).count()
    }

    /// Returns whether a machine was in touch through a whole span.
    pub fn in_touch(&self, machine: usize, from_ms: u64, to_ms: u64, window_ms: u64) -> bool {
        let mut disruptions = self.disruptions_of(machine, from_ms, to_ms, window_ms);
        disruptions.next().is_none()
    }

    /// Returns the disruptions that keep a machine from being in touch in a span.
    pub(crate) fn disruptions_of(
        &self,
        machine: usize,
        from_ms: u64,
        to_ms: u64,
        window_ms: u64,
    ) -> impl Iterator<Item = &Disruption> {
        let begin_ms = from_ms.saturating_sub(window_ms);
        let of_machine = move |d: &&Disruption| d.machine.is_none_or(|other| other == machine);
        let disruptions = self.disruptions.iter().filter(of_machine);
        disruptions.filter(move |d| d.from_ms <= to_ms && d.to_ms >= begin_ms)
    }

    /// Returns the spans in which nothing was disturbed for so long before.
    pub(crate) fn calm_spans(&self, window_ms: u64) -> Vec<(u64, u64)> {
        let spans = self.disruptions.iter().chain(&self.faults);
        let mut spans: Vec<_> = spans.map(|d| (d.from_ms, d.to_ms)).collect();
        spans.sort_unstable();
        let mut calm_ms = self.attempts.iter().map(|a| a.sent_ms).min().unwrap_or(0);
        let mut calm = Vec::new();
        for (from_ms, to_ms) in spans {
            if from_ms > calm_ms {
                calm.push((calm_ms, from_ms));
            }
            calm_ms = calm_ms.max(to_ms.saturating_add(window_ms));
        }
        calm.push((calm_ms, u64::MAX));
        calm
    }

    /// Returns whether a backend server was frozen at any time of a span.
    pub(crate) fn was_frozen(&self, server: &str, from_ms: u64, to_ms: u64) -> bool {
        let mut freezes = self.freezes.iter().filter(|f| f.server == server);
        freezes.any(|f| f.from_ms <= to_ms && f.to_ms >= from_ms)
    }

    /// Returns the run that made a call, and whether it was a repeat.
    pub(crate) fn caller_of(&self, id: &str) -> Option<(&Run, bool)> {
        let (parent, server) = scan_call(id)?;
        let mut runs: Vec<&Run> = self.runs.get(parent)?.iter().collect();
        runs.sort_by_key(|run| run.reached_ms);
        let index = runs.iter().position(|run| run.server == server)?;
        Some((runs[index], index > 0))
    }

    /// Returns the arrivals of an attempt.
    pub fn runs_of(&self, attempt: &Attempt) -> &[Run] {
        self.runs.get(&attempt.id).map_or(&[], Vec::as_slice)
    }
}

fn reached(entry: &Entry) -> Run {
    let mut run = Run {
        server: entry.server.clone(),
        service: entry.service.clone(),
        reached_ms: entry.at_ms,
        ..Run::default()
    };
    if let Step::Reached {
        method,
        path,
        caller,
        deadline_ms,
    } = &entry.step
    {
        run.method = method.clone();
        run.path = path.clone();
        run.caller = caller.clone();
        run.deadline_ms = *deadline_ms;
    }
    run
}
