//! What nodes tell each other of the routes and of the list of backend servers.
//!
//! A node tells which version it knows, and who knows less asks for the rest. So a node that
//! the store turns away, or that starts while the store is away, learns from its peers.

use std::rc::Rc;

use oriolering::{RouteTable, ServerNote};
use oriolering_platform::scan_config;
use serde_bytes::ByteBuf;

use crate::frame::Frame;
use crate::node::Node;
use crate::outbound;
use crate::outbox::Outbox;

/// Tells one peer what this node knows.
pub(crate) fn announce(node: &Node, outbox: &Outbox) {
    outbox.push(known(node));
}

/// Tells all peers what this node knows, since it has changed.
pub(crate) fn announce_all(node: &Node) {
    for peer in node.peers.borrow().values() {
        peer.push(known(node));
    }
}

fn known(node: &Node) -> Frame {
    Frame::Known {
        routes: node.version(),
        servers: node.list.borrow().revision(),
    }
}

/// Takes in news, or answers a question about them.
pub(crate) fn take(node: &Rc<Node>, outbox: &Outbox, frame: Frame) {
    match frame {
        Frame::Known { routes, servers } => compare(node, outbox, routes, servers),
        Frame::Want { routes, servers } => supply(node, outbox, routes, servers),
        Frame::Routes { text, .. } => {
            put_routes(node, text.into_vec());
        }
        Frame::Servers { revision, notes } => put_servers(node, revision, notes),
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Piece { .. }
        | Frame::Cancel { .. }
        | Frame::Ended { .. }
        | Frame::Load(_)
        | Frame::Ping
        | Frame::Pong => {}
    }
}

/// Asks a peer that knows more.
fn compare(node: &Node, outbox: &Outbox, routes: u64, servers: u64) {
    let own_routes = node.version();
    let own_servers = node.list.borrow().revision();
    if routes > own_routes || servers > own_servers {
        outbox.push(Frame::Want {
            routes: own_routes,
            servers: own_servers,
        });
    }
}

/// Sends a peer what it lacks.
fn supply(node: &Node, outbox: &Outbox, routes: u64, servers: u64) {
    if let Some(published) = node.routes()
        && published.table.version() > routes
    {
        outbox.push(Frame::Routes {
            version: published.table.version(),
            text: ByteBuf::from(published.text.as_slice()),
        });
    }
    let list = node.list.borrow();
    if list.revision() > servers {
        outbox.push(Frame::Servers {
            revision: list.revision(),
            notes: list.since(servers),
        });
    }
}

/// Takes in published routes; returns whether they are newer than those in force.
pub(crate) fn put_routes(node: &Rc<Node>, text: Vec<u8>) -> bool {
    let set = match scan_config(&text) {
        Ok(set) => set,
        Err(e) => {
            log::warn!(error = e.to_string().as_str(), version = node.version(); "published routes cannot be used; those in force stay");
            return false;
        }
    };
    let newer = node.apply_routes(RouteTable::new(set), text);
    if newer {
        apply_list(node);
        announce_all(node);
    }
    newer
}

fn put_servers(node: &Rc<Node>, revision: u64, notes: Vec<ServerNote>) {
    let now = node.now();
    let mut list = node.list.borrow_mut();
    let before = list.revision();
    let mut changed = false;
    for note in notes {
        changed |= list.note(now, note);
    }
    list.advance(revision);
    let advanced = list.revision() > before;
    drop(list);
    if changed {
        apply_list(node);
    }
    if advanced && changed {
        announce_all(node);
    }
}

/// Takes over the list, and links to the nodes that are new in it.
pub(crate) fn apply_list(node: &Rc<Node>) {
    for peer in node.apply_list() {
        tokio::task::spawn_local(outbound::keep(Rc::clone(node), peer));
    }
}
