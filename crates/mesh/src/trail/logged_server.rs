//! Logs the changes of the list of backend servers.

use std::collections::HashMap;

use compact_str::CompactString;
use oriolering::{ServerRecord, ServerState, StorePosition};

use super::{Event, Origin, Trail};

/// The attributes of a backend server as they were last logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoggedServer {
    service: CompactString,
    state: ServerState,
    slots: u32,
}

impl LoggedServer {
    fn of(record: &ServerRecord) -> Self {
        Self {
            service: record.service.clone(),
            state: record.state,
            slots: record.slots,
        }
    }

    fn event(&self, record: &ServerRecord, list_position: StorePosition, source: Origin) -> Event {
        Event::ServerListed {
            server: record.id.clone(),
            service: self.service.clone(),
            address: record.address,
            state: match self.state {
                ServerState::Ready => "ready",
                ServerState::Draining => "draining",
            },
            slots: self.slots,
            list_position,
            source,
        }
    }
}

impl Trail {
    /// Logs how a new list differs from the last one; the first list is logged in a single line.
    pub(crate) fn log_list(
        &self,
        records: &[ServerRecord],
        list_position: StorePosition,
        source: Origin,
    ) {
        let mut logged = self.logged_servers.borrow_mut();
        let mut before = std::mem::take(&mut *logged);
        let first = before.is_empty();
        for record in records {
            let now = LoggedServer::of(record);
            if before.remove(&record.id).as_ref() != Some(&now) && !first {
                self.note(now.event(record, list_position, source));
            }
            logged.insert(record.id.clone(), now);
        }
        if first && !records.is_empty() {
            let servers = records.len() as u64;
            self.note(Event::ListTaken {
                servers,
                list_position,
                source,
            });
        }
        self.log_removed(before, list_position, source);
    }

    fn log_removed(
        &self,
        removed: HashMap<CompactString, LoggedServer>,
        list_position: StorePosition,
        source: Origin,
    ) {
        for (server, LoggedServer { service, .. }) in removed {
            self.note(Event::ServerGone {
                server,
                service,
                list_position,
                source,
            });
        }
    }
}
