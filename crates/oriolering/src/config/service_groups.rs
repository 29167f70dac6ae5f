//! The groups of fields within the settings of a service.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Policy;

/// The concurrency limit of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// The initial limit of a gate.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "initial limit"))]
    pub initial: u32,
    /// The lowest limit that a gate may adapt to.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "lowest limit"))]
    pub min: u32,
    /// The highest limit that a gate may adapt to.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "highest limit"))]
    pub max: u32,
    /// The known number of slots of each backend server. A gate then uses this number as a fixed
    /// limit; `initial`, `min` and `max` have no effect.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "published slots"))]
    pub published: Option<u32>,
}

impl Slots {
    /// Returns the limits that a gate applies: all are equal to `published` when it is set.
    pub fn effective(self) -> Self {
        match self.published {
            Some(slots) => Self {
                initial: slots,
                min: slots,
                max: slots,
                ..self
            },
            None => self,
        }
    }
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            initial: 12,
            min: 2,
            max: 12,
            published: None,
        }
    }
}

/// The queue of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// The largest number of requests that wait at one gate; further requests are rejected without
    /// being run.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "queue"))]
    pub length: u32,
    /// The longest wait at a gate; a request that waits longer is rejected without being run.
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "longest wait"))]
    pub wait_ms: u64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            length: 24,
            wait_ms: 200,
        }
    }
}

/// Retries of failed calls on other backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// The number of retries that an ingress may make for every 100 calls; 0 disables retries.
    #[schemars(range(max = 100), extend("x-unit" = "percent", "x-title" = "retry budget"))]
    pub percent: u32,
    /// The largest number of attempts of one call, including the first.
    #[schemars(range(min = 1, max = 10), extend("x-unit" = "attempts", "x-title" = "attempts"))]
    pub attempts: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            percent: 10,
            attempts: 3,
        }
    }
}

/// Hedging of slow idempotent calls on a second backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// The number of hedged attempts that an ingress may make for every 100 calls.
    #[schemars(range(max = 100), extend("x-unit" = "percent", "x-title" = "hedge budget"))]
    pub percent: u32,
    /// How long an attempt runs before a second one is sent; 0 disables hedging.
    #[schemars(range(max = 600_000), extend("x-unit" = "ms", "x-title" = "hedge delay"))]
    pub after_ms: u64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            percent: 5,
            after_ms: 0,
        }
    }
}

/// The budget for measuring backend servers and load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Measure {
    /// The work that all nodes of the service together may spend on measuring per second.
    /// At 0 the nodes use only the measurements that responses carry.
    #[schemars(range(max = 10_000), extend("x-unit" = "ms per second", "x-title" = "measuring budget"))]
    pub budget_ms: u64,
    /// The cost that is charged to the budget before a probe is sent.
    #[schemars(range(min = 1, max = 1_000), extend("x-unit" = "ms", "x-title" = "cost of a probe"))]
    pub probe_ms: u64,
    /// The cost that is charged to the budget before a connection is opened.
    #[schemars(range(min = 1, max = 1_000), extend("x-unit" = "ms", "x-title" = "cost of a connection"))]
    pub connect_ms: u64,
    /// The path of the health endpoint that a gate polls on its backend server. A response with
    /// status 503 means that the backend server is leaving.
    #[schemars(with = "String", extend("x-form" = "path", "x-title" = "path of the health endpoint"))]
    pub health_path: CompactString,
    /// The interval at which a gate polls the health endpoint of its backend server.
    #[schemars(range(min = 10, max = 600_000), extend("x-unit" = "ms", "x-title" = "poll interval"))]
    pub poll_ms: u64,
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            budget_ms: 200,
            probe_ms: 6,
            connect_ms: 1,
            health_path: CompactString::const_new("/_health"),
            poll_ms: 1_000,
        }
    }
}

/// How a backend server signals that it sheds load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Shed {
    /// The status of a response with which a backend server sheds a request.
    #[schemars(range(min = 400, max = 599), extend("x-unit" = "HTTP status", "x-title" = "shed status"))]
    pub status: u16,
    /// Whether a shed request is guaranteed not to have run. Only then is a request that is not
    /// idempotent retried.
    #[schemars(extend("x-title" = "promise that a shed request did not run"))]
    pub not_run: bool,
}

impl Default for Shed {
    fn default() -> Self {
        Self {
            status: 503,
            not_run: false,
        }
    }
}

/// How an ingress chooses a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Choice {
    /// The policy by which a backend server is chosen.
    #[schemars(extend("x-title" = "choice policy"))]
    pub policy: Policy,
    /// The number of backend servers that one ingress connects to; at 0 it connects to all.
    #[schemars(range(max = 10_000), extend("x-unit" = "backend servers", "x-title" = "subset"))]
    pub subset: u32,
}

/// The responses that a gate buffers until their ingress has received them completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Buffer {
    /// The largest response that is buffered; larger ones are only streamed.
    #[schemars(range(max = 16_777_216), extend("x-unit" = "bytes", "x-title" = "largest kept answer"))]
    pub answer_bytes: u64,
    /// The memory for all buffered responses of one gate.
    #[schemars(range(max = 33_554_432), extend("x-unit" = "bytes", "x-title" = "memory for kept answers"))]
    pub total_bytes: u64,
}

impl Default for Buffer {
    fn default() -> Self {
        Self {
            answer_bytes: 262_144,
            total_bytes: 8_388_608,
        }
    }
}
