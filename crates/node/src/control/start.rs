//! Starts the control part and runs its tasks.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ntex::rt::System;
use oriolering::Member;
use snafu::{OptionExt, ResultExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use super::client;
use super::error::{ControlError, IncarnationSnafu, ListenSnafu, ThreadSnafu};
use super::gossip;
use super::handle::{Command, Handle};
use super::message::Kind;
use super::pull;
use super::read;
use super::server;
use super::settings::{ControlSettings, Hooks};
use super::state::Shared;
use super::usage::thread_cpu_us;

/// How often the use of the processor and of the network is debited.
const METER_MS: u64 = 1_000;
/// How often the runtime checks its own thread; nothing here asks for the result.
const PING_MS: usize = 3_600_000;
/// How long changes of members are collected before they are handed on.
const MEMBERS_MS: u64 = 50;

type Commands = mpsc::UnboundedReceiver<Command>;

/// Starts the control part on a thread of its own.
///
/// # Errors
///
/// Returns an error when the address for peers cannot be listened on, when the settings name
/// no incarnation or when the thread cannot be started.
pub fn start(settings: ControlSettings, hooks: Hooks) -> Result<Handle, ControlError> {
    let incarnation = settings.me.incarnation.context(IncarnationSnafu)?;
    let address = settings.me.control;
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    let (commands, receiver) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(settings, hooks, incarnation));
    let handle = Handle {
        commands,
        shared: Arc::clone(&shared),
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(shared, listener, receiver))
        .context(ThreadSnafu)?;
    Ok(handle)
}

fn run(shared: Arc<Shared>, listener: TcpListener, commands: Commands) {
    let system = System::build()
        .name("control")
        .ping_interval(PING_MS)
        .finish();
    let stopped = system.block_on(serve(shared, listener, commands));
    if let Some(stopped) = stopped {
        let _ = stopped.send(());
    }
}

/// Runs all tasks until the stop command; returns where to report the end.
async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut commands: Commands,
) -> Option<oneshot::Sender<()>> {
    let mut tasks = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => spawn_tasks(&shared, listener),
        Err(error) => {
            log::error!("the control part cannot listen: {error}");
            return None;
        }
    };
    loop {
        let command = tokio::select! {
            command = commands.recv() => command?,
            ended = tasks.join_next() => {
                log::error!("a task of the control part has ended: {ended:?}");
                return None;
            }
        };
        if let Some(stopped) = obey(&shared, command) {
            return Some(stopped);
        }
    }
}

/// Starts the tasks that run until the control part ends.
fn spawn_tasks(shared: &Arc<Shared>, listener: tokio::net::TcpListener) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(server::run(Arc::clone(shared), listener));
    for kind in Kind::ALL {
        tasks.spawn_local(read::run(Arc::clone(shared), kind));
        tasks.spawn_local(pull::run(Arc::clone(shared), kind));
    }
    tasks.spawn_local(gossip::run_sync(Arc::clone(shared)));
    tasks.spawn_local(gossip::run_push(Arc::clone(shared)));
    tasks.spawn_local(run_meter(Arc::clone(shared)));
    tasks.spawn_local(run_members(Arc::clone(shared)));
    tasks
}

/// Carries out a command; returns where to report the end on the stop command.
fn obey(shared: &Arc<Shared>, command: Command) -> Option<oneshot::Sender<()>> {
    let shared = Arc::clone(shared);
    match command {
        Command::Inquire {
            control,
            id,
            fence,
            timeout_ms,
            reply,
        } => {
            spawn_local(async move {
                let fate = client::inquire(&shared, control, id, fence, timeout_ms).await;
                let _ = reply.send(fate);
            });
        }
        Command::Open {
            control,
            timeout_ms,
            reply,
        } => {
            spawn_local(async move {
                let _ = reply.send(client::open(&shared, control, timeout_ms).await);
            });
        }
        Command::Quarantine(entry) => shared.quarantine(entry),
        Command::Leave => shared.leave(),
        Command::Stop(stopped) => return Some(stopped),
    }
    None
}

/// Debits what was used since the last time.
async fn run_meter(shared: Arc<Shared>) {
    let mut thread = thread_cpu_us();
    let mut cpu = 0;
    let mut bytes = 0;
    loop {
        sleep(Duration::from_millis(METER_MS)).await;
        let used = thread_cpu_us();
        let usage = &shared.usage;
        usage.cpu_us.fetch_add(used - thread, Ordering::Relaxed);
        thread = used;
        let total = (usage.bytes(), usage.cpu_us.load(Ordering::Relaxed));
        let now = shared.clock.now();
        shared
            .state()
            .budget
            .spend(now, total.0 - bytes, total.1 - cpu);
        (bytes, cpu) = total;
    }
}

/// Hands the members on after each change.
async fn run_members(shared: Arc<Shared>) {
    loop {
        shared.heard.notified().await;
        sleep(Duration::from_millis(MEMBERS_MS)).await;
        let changed: Option<Arc<[Member]>> = shared.state().roster.take_changed();
        if let Some(members) = changed {
            (shared.hooks.members)(members);
        }
    }
}
