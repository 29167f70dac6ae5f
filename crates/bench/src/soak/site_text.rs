//! The texts that the platform writes: settings, entries of backend servers and configurations.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use compact_str::{CompactString, format_compact};
use serde_json::{Value, json};

use super::bounds::bounds_text;
use oriolering_platform::Bounds;

/// The services of a soak.
pub(crate) const SERVICES: [&str; 2] = ["rack", "caja"];
/// The weights of the services in a split, which add up to 100.
pub(crate) const SPLIT_WEIGHTS: [u32; 2] = [70, 30];
/// The availability zones, which machines take in turn.
pub(crate) const ZONES: [&str; 3] = ["huaraz", "carhuaz", "yungay"];
/// The host of all routes.
pub(crate) const HOST: &str = "jepu9.example";
/// The most backend servers that one attempt may be sent to.
pub(crate) const MAX_ATTEMPTS: usize = 2;
/// How often a backend server writes its entry; that of small deployments.
pub(crate) const HEARTBEAT_MS: u64 = 1_500;
/// The health endpoint of all services.
pub(crate) const HEALTH_PATH: &str = "/health";
/// The most connections of a backend server.
pub(crate) const CONNECTIONS: u32 = 240;

/// The ports of every machine.
pub(crate) const APP_PORT: u16 = 8_628;
pub(crate) const CALLERS_PORT: u16 = 8_629;
pub(crate) const READY_PORT: u16 = 8_625;
pub(crate) const CONTROL_PORT: u16 = 8_700;
const INBOUND_PORT: u16 = 8_624;

/// A route that every configuration has: prefix, kind and timeout in milliseconds.
pub(crate) type Steady = (&'static str, &'static str, u64);

pub(crate) const CHECK: Steady = ("/check/", "idempotent", 800);
pub(crate) const CHARGE: Steady = ("/charge/", "non_idempotent", 1_000);
pub(crate) const DAMAGE: Steady = ("/damage/", "upload", 1_200);
pub(crate) const SPLIT: Steady = ("/split/", "idempotent", 800);
pub(crate) const LOOKUP: Steady = ("/lookup/", "idempotent", 600);
pub(crate) const MOVE: Steady = ("/move/", "idempotent", 800);

/// Returns the path's prefix that only one configuration has.
pub(crate) fn own_prefix(version: u64) -> CompactString {
    format_compact!("/v{version}/")
}

/// Returns the configuration with this number, and the services by prefix that it allows.
pub(crate) fn configuration(
    number: usize,
    version: u64,
) -> (Value, HashMap<CompactString, Vec<CompactString>>) {
    let moved = SERVICES[number % SERVICES.len()];
    let own = own_prefix(version);
    let one =
        |(prefix, kind, timeout_ms): Steady, service| (prefix, kind, timeout_ms, vec![service]);
    let routes = [
        one(CHECK, SERVICES[0]),
        one(CHARGE, SERVICES[1]),
        one(DAMAGE, SERVICES[0]),
        (SPLIT.0, SPLIT.1, SPLIT.2, SERVICES.to_vec()),
        one(LOOKUP, SERVICES[1]),
        one(MOVE, moved),
        (own.as_str(), "idempotent", 800, vec![SERVICES[0]]),
    ];
    let listed = routes
        .iter()
        .map(|(prefix, kind, timeout_ms, services)| route(prefix, kind, *timeout_ms, services));
    let services = SERVICES.map(|name| {
        json!({"name": name, "health_path": HEALTH_PATH, "max_connections": CONNECTIONS,
            "protocol": "h1", "tls": false})
    });
    let text = json!({
        "version": version,
        "routes": listed.collect::<Vec<_>>(),
        "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    });
    let names = |services: &[&str]| {
        services
            .iter()
            .map(|name| CompactString::from(*name))
            .collect()
    };
    let allowed = routes
        .iter()
        .map(|(prefix, _, _, services)| ((*prefix).into(), names(services)));
    (text, allowed.collect())
}

fn route(prefix: &str, kind: &str, timeout_ms: u64, services: &[&str]) -> Value {
    let name = format!("r{}", prefix.replace('/', "-"));
    let mut route = json!({"name": name, "host": HOST, "prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1,
        "max_attempts": MAX_ATTEMPTS});
    match services {
        [service] => route["service"] = json!(service),
        [] => {}
        parts => {
            let parts = parts.iter().zip(SPLIT_WEIGHTS);
            let parts = parts.map(|(name, weight)| json!({"service": name, "weight": weight}));
            route["traffic_split"] = parts.collect();
        }
    }
    route
}

/// Returns the settings of the node on a machine.
pub(crate) fn settings(
    number: usize,
    ip: IpAddr,
    service: &str,
    store: SocketAddr,
    first_start: bool,
    bounds: &Bounds,
) -> String {
    let zone = ZONES[number % ZONES.len()];
    let bounds = bounds_text(bounds);
    format!(
        r#"node = "sidecar-{number}"
role = "sidecar"
ip = "{ip}"
zone = "{zone}"
internal_ports = [7600,7615]
seeds = []
bootstrap = {first_start}
heartbeat_ms = {HEARTBEAT_MS}
bounds = {bounds}
app_addr = "{ip}:{APP_PORT}"
service = "{service}"
[listen]
inbound = "{ip}:{INBOUND_PORT}"
outbound = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
[limits]
cpu_share = 0.2
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[platform]
address = "{store}"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"#
    )
}
