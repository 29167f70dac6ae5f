//! A single queue with current information about all backend servers.

use crate::fleet::Fleet;

impl Fleet {
    /// Returns whether a request that starts now, with this processing time in percent of the usual,
    /// ends within `limit_ms`.
    fn fits(&self, call: usize, percent: u32, limit_ms: u64) -> bool {
        let run = self.load.work_ms * u64::from(percent) / 100 + self.load.hop_ms;
        self.now + run <= self.calls[call].arrived + limit_ms
    }

    /// Assigns the free slots of all backend servers to requests in the queue.
    ///
    /// A slot goes to the first request that can still meet its target latency there. If there is
    /// none, it goes to the first request that can no longer meet it even at the usual speed but
    /// can still meet its deadline there.
    pub(crate) fn assign_slots(&mut self) {
        let (aim, deadline) = (self.load.aim_ms, self.load.deadline_ms);
        let mut gates: Vec<usize> = (0..self.gates.len()).collect();
        gates.sort_by_key(|g| self.gates[*g].server.percent());
        for gate in gates {
            let percent = self.gates[gate].server.percent();
            while self.gates[gate].server.running() < self.load.usable_slots as usize {
                let meets = |c: &usize| self.fits(*c, percent, aim);
                let missed =
                    |c: &usize| !self.fits(*c, 100, aim) && self.fits(*c, percent, deadline);
                let queue = &self.queue;
                let first = queue.iter().position(meets);
                let Some(index) = first.or_else(|| queue.iter().position(missed)) else {
                    break;
                };
                let call = self.queue.remove(index);
                self.start(call, gate);
            }
        }
    }
}
