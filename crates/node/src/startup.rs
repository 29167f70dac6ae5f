//! Starts the parts of a node and ties them together.

use std::sync::Arc;

use oriolering::config::{Bundle, ProcessSettings, SettingsSet};
use oriolering::{Incarnation, Member, PublishedValue};
use snafu::ResultExt;

use crate::control::{self, ControlSettings, Hooks};
use crate::error::{self, NodeError};
use crate::serve;
use crate::state::Node;

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Returns an error when a part cannot be started.
pub(crate) fn run(card: ProcessSettings) -> Result<(), NodeError> {
    let incarnation = Incarnation(rand::random());
    let node = Node::new(card, incarnation);
    let settings = ControlSettings::new(member(&node), node.card.platform);
    let handle = control::start(settings, hooks(&node)).context(error::ControlSnafu)?;
    node.attach(handle);
    log::info!(id = node.card.id.as_str(), incarnation = incarnation.0; "started");
    let system = ntex::rt::System::new("oriolering-node");
    let result = system.block_on(serve::run(Arc::clone(&node)));
    log::info!("stopped");
    result.context(error::ListenSnafu)
}

fn member(node: &Node) -> Member {
    let card = &node.card;
    Member {
        id: card.id.clone(),
        service: card.service.clone(),
        zone: card.zone.clone(),
        region: card.region.clone(),
        ingress: card.ingress,
        gate: card.gate,
        control: card.control,
        leaving: false,
        incarnation: Some(node.incarnation),
    }
}

/// Ties the control part to the rest of the node.
fn hooks(node: &Arc<Node>) -> Hooks {
    let (configured, members, inquire) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    let (open, leaving, quarantined) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    Hooks {
        configured: Box::new(move |published| configure(&configured, &published)),
        validate: Box::new(|text| parse(text).map(drop)),
        members: Box::new(move |list| members.set_members(list)),
        inquire: Box::new(move |id, fence| {
            let now = inquire.clock.now();
            let mut admission = inquire.admission.lock();
            let fate = admission.gate.inquire(now, id, fence);
            admission.pump(now);
            fate
        }),
        open: Box::new(move || open.admission.lock().gate.open_session(open.clock.now())),
        leaving: Box::new(move || leaving.is_draining()),
        quarantined: Box::new(move |entries| quarantined.adopt(entries)),
    }
}

fn parse(text: &str) -> Result<SettingsSet, String> {
    let bundle = Bundle::parse(text).map_err(|problems| problems.to_string())?;
    SettingsSet::parse(&bundle).map_err(|problems| problems.to_string())
}

/// Puts an accepted set in force at this site.
fn configure(node: &Node, published: &PublishedValue) {
    match parse(&published.text) {
        Ok(set) => node.configure(published.revision, &set.site(&node.card.zone)),
        // Accepted sets were validated by the same function.
        Err(problems) => log::error!(problems = problems.as_str(); "accepted set does not parse"),
    }
}
