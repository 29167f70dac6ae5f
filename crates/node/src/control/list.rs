//! Reads the platform's list of instances.

use std::net::SocketAddr;

use compact_str::CompactString;
use oriolering::{MEMBERS_MAX, Member};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::message::ID_BYTES;

/// The list; its entries are decoded one by one, so that an unreadable one hides no other.
#[derive(Deserialize)]
struct Instances<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Instance {
    id: CompactString,
    service: CompactString,
    zone: CompactString,
    region: CompactString,
    state: State,
    ingress: SocketAddr,
    gate: SocketAddr,
    control: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

/// Reads the list; entries that do not fit are left out.
pub(crate) fn parse(text: &str) -> Result<Vec<Member>, String> {
    let list: Instances = serde_json::from_str(text)
        .map_err(|error| format!("the list of instances is not valid: {error}"))?;
    let count = list.instances.len();
    if count > MEMBERS_MAX {
        return Err(format!(
            "the list names {count} instances; list at most {MEMBERS_MAX}"
        ));
    }
    Ok(list.instances.into_iter().filter_map(scan_member).collect())
}

fn scan_member(entry: &RawValue) -> Option<Member> {
    let instance: Instance = serde_json::from_str(entry.get()).ok()?;
    if instance.id.is_empty() || instance.id.len() > ID_BYTES {
        return None;
    }
    Some(Member {
        id: instance.id,
        service: instance.service,
        zone: instance.zone,
        region: instance.region,
        ingress: instance.ingress,
        gate: instance.gate,
        control: instance.control,
        leaving: match instance.state {
            State::Live => false,
            State::Leaving => true,
        },
        incarnation: None,
    })
}
