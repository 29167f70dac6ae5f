//! The arena of backend servers that this ingress knows.

use std::net::SocketAddr;

use oriolering::{Member, ServerKey};

use crate::sessions::Session;

/// One backend server: its published record and the session with its gate.
#[derive(Debug)]
pub(crate) struct Server {
    /// The record of the platform's list.
    pub(crate) member: Member,
    /// The session of this ingress with the gate.
    pub(crate) session: Session,
    /// Attempts that have not ended.
    pub(crate) running: u32,
    /// Whether the record has left the platform's list.
    gone: bool,
}

/// The address of a gate and of the control listener beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Address {
    /// The listener that takes forwarded calls.
    pub(crate) gate: SocketAddr,
    /// The listener that takes inquiries.
    pub(crate) control: SocketAddr,
}

/// A Vec arena of servers; the slot of a removed one is used again once it is idle.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    list: Vec<Server>,
}

impl Servers {
    /// Returns the server at `key`.
    ///
    /// # Panics
    ///
    /// Panics when the key is not of this arena.
    pub(crate) fn get(&mut self, key: ServerKey) -> &mut Server {
        &mut self.list[key.0 as usize]
    }

    /// Returns the addresses of the server at `key`.
    pub(crate) fn address(&self, key: ServerKey) -> Address {
        let member = &self.list[key.0 as usize].member;
        Address {
            gate: member.gate,
            control: member.control,
        }
    }

    /// Takes up a new list of members; returns those that have become a new incarnation.
    pub(crate) fn update(&mut self, members: &[Member]) -> Vec<ServerKey> {
        let before: Vec<_> = self
            .list
            .iter()
            .map(|server| server.member.incarnation)
            .collect();
        for server in &mut self.list {
            server.gone = true;
        }
        for member in members {
            self.place(member);
        }
        let is_fresh = |(ix, server): &(usize, &Server)| {
            let known = before.get(*ix).copied().flatten();
            known.is_some() && known != server.member.incarnation
        };
        let servers = self.list.iter().enumerate().filter(is_fresh);
        servers.map(|(ix, _)| ServerKey(ix as u32)).collect()
    }

    /// Walks the keys and records of the servers that are listed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Member)> {
        let keys = (0..).map(ServerKey);
        keys.zip(&self.list)
            .filter(|(_, server)| !server.gone)
            .map(|(key, server)| (key, &server.member))
    }

    /// Finds the slot of `member`: its own, a free one, or a new one.
    fn place(&mut self, member: &Member) {
        let own = self
            .list
            .iter()
            .position(|server| server.member.id == member.id);
        if let Some(ix) = own {
            self.renew(ix, member);
            return;
        }
        let free = self
            .list
            .iter()
            .position(|server| server.gone && server.running == 0);
        let server = Server {
            member: member.clone(),
            session: Session::default(),
            running: 0,
            gone: false,
        };
        match free {
            Some(ix) => self.list[ix] = server,
            None => self.list.push(server),
        }
    }

    fn renew(&mut self, ix: usize, member: &Member) {
        let server = &mut self.list[ix];
        if server.member.gate != member.gate {
            server.session = Session::default();
        }
        server.member = member.clone();
        server.gone = false;
    }
}
