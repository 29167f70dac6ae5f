//! The settings of one service.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use crate::Policy;
use crate::config::{Buffer, Choice, Hedge, Measure, Method, Queue, Retry, Shed, Slots};

/// The effective settings of one service at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The name of the service, which is the key of its entry.
    #[serde(skip)]
    pub name: CompactString,
    /// The longest time a call may take; a shorter deadline of the caller stays in force.
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "deadline"))]
    pub deadline_ms: u64,
    /// The concurrency limit of a gate.
    pub slots: Slots,
    /// The queue of a gate.
    pub queue: Queue,
    /// The request header whose value names the customer. The queue serves customers in turn;
    /// without the header all calls belong to one customer.
    #[schemars(with = "Option<String>", pattern(r"^[a-z0-9-]{1,64}$"), extend("x-form" = "header", "x-title" = "customer header"))]
    pub customer_header: Option<CompactString>,
    /// The most connections a backend server accepts from all nodes together.
    #[schemars(range(min = 1, max = 65_535), extend("x-unit" = "connections", "x-title" = "connection limit"))]
    pub connections: u32,
    /// Sending a failed call to another backend server.
    pub retry: Retry,
    /// Sending a slow idempotent call to a second backend server.
    pub hedge: Hedge,
    /// The budget for measuring backend servers and load.
    pub measure: Measure,
    /// How a backend server says that it sheds load.
    pub shed: Shed,
    /// The methods that may run twice. Calls with any other method run at most once.
    #[schemars(with = "Vec<Method>", extend("x-title" = "list of idempotent methods"))]
    pub idempotent: SmallVec<[Method; 4]>,
    /// How an ingress chooses a backend server.
    pub choice: Choice,
    /// The time over which the limit of a new backend server rises to `slots.initial`.
    #[schemars(range(max = 600_000), extend("x-unit" = "ms", "x-title" = "ramp"))]
    pub ramp_ms: u64,
    /// How long a request that crashed two backend servers is refused.
    #[schemars(range(min = 1_000, max = 86_400_000), extend("x-unit" = "ms", "x-title" = "quarantine"))]
    pub quarantine_ms: u64,
    /// How long a connection to a gate may be silent before the ingress inquires about its
    /// call over a new connection.
    #[schemars(range(min = 20, max = 60_000), extend("x-unit" = "ms", "x-title" = "silence limit"))]
    pub silence_ms: u64,
    /// The answers that a gate keeps until their ingress has them whole.
    pub buffer: Buffer,
}

impl ServiceSettings {
    /// Returns whether calls with `method` may run twice.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|m| m.as_str() == method)
    }
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            deadline_ms: 2_000,
            slots: Slots::default(),
            queue: Queue::default(),
            customer_header: None,
            connections: 240,
            retry: Retry::default(),
            hedge: Hedge::default(),
            measure: Measure::default(),
            shed: Shed::default(),
            idempotent: smallvec![Method::Get, Method::Head, Method::Options],
            choice: Choice {
                policy: Policy::Adaptive,
                subset: 0,
            },
            ramp_ms: 10_000,
            quarantine_ms: 600_000,
            silence_ms: 500,
            buffer: Buffer::default(),
        }
    }
}
