//! The groups of settings within a service.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Policy;

/// The concurrency limit of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// The limit that a gate starts with.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "initial limit"))]
    pub initial: u32,
    /// The limit below which a gate never goes.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "lowest limit"))]
    pub min: u32,
    /// The limit above which a gate never goes.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "highest limit"))]
    pub max: u32,
    /// The slots that each backend server of the service is known to have. A gate then keeps
    /// this limit and searches for none; the other three have no effect.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "published slots"))]
    pub published: Option<u32>,
}

impl Slots {
    /// Returns the limits that a gate starts with and stays between.
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
    /// The most requests that wait at one gate; one more is refused as not run.
    #[schemars(range(min = 1, max = 10_000), extend("x-unit" = "requests", "x-title" = "queue"))]
    pub length: u32,
    /// The longest wait at a gate; a request that waited longer is refused as not run.
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

/// Sending a failed call to another backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// The retries that an ingress may make for each hundred calls. At 0 none are made.
    #[schemars(range(max = 100), extend("x-unit" = "percent", "x-title" = "retry budget"))]
    pub percent: u32,
    /// The most attempts of one call, the first one included.
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

/// Sending a slow idempotent call to a second backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// The hedged attempts that an ingress may make for each hundred calls.
    #[schemars(range(max = 100), extend("x-unit" = "percent", "x-title" = "hedge budget"))]
    pub percent: u32,
    /// How long an attempt runs before a second one is sent. At 0 calls are not hedged.
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
    /// The work that all nodes of the service together may spend on measuring in each second.
    /// At 0 nothing is measured but what answers carry.
    #[schemars(range(max = 10_000), extend("x-unit" = "ms per second", "x-title" = "measuring budget"))]
    pub budget_ms: u64,
    /// The cost of one probe that is debited before it is sent.
    #[schemars(range(min = 1, max = 1_000), extend("x-unit" = "ms", "x-title" = "cost of a probe"))]
    pub probe_ms: u64,
    /// The cost of one new connection that is debited before it is opened.
    #[schemars(range(min = 1, max = 1_000), extend("x-unit" = "ms", "x-title" = "cost of a connection"))]
    pub connect_ms: u64,
    /// The path that a gate polls on its backend server. An answer of 503 means that the
    /// backend server is leaving.
    #[schemars(with = "String", extend("x-form" = "path", "x-title" = "path of the health endpoint"))]
    pub health_path: CompactString,
    /// The time between two polls of the backend server's health endpoint by its gate.
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

/// How a backend server says that it sheds load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Shed {
    /// The status of an answer by which a backend server sheds a request.
    #[schemars(range(min = 400, max = 599), extend("x-unit" = "HTTP status", "x-title" = "shed status"))]
    pub status: u16,
    /// Whether a shed request is sure not to have run. Only then is a request that is not
    /// idempotent sent again.
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
    /// The policy.
    #[schemars(extend("x-title" = "choice policy"))]
    pub policy: Policy,
    /// The number of backend servers that one ingress connects to. At 0 it connects to all.
    #[schemars(range(max = 10_000), extend("x-unit" = "backend servers", "x-title" = "subset"))]
    pub subset: u32,
}

/// The answers that a gate keeps until their ingress has them whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Buffer {
    /// The largest answer that is kept; a larger one is only streamed.
    #[schemars(range(max = 16_777_216), extend("x-unit" = "bytes", "x-title" = "largest kept answer"))]
    pub answer_bytes: u64,
    /// The memory for all kept answers of one gate.
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
