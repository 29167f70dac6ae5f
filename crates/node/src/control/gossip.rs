//! Exchanges with random peers, and news pushed to a few of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use oriolering::ControlWork;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::client;
use super::message::{Beat, NOTES_MAX};
use super::state::Shared;

/// The waits before news is pushed again.
const REPEATS_MS: [u64; 2] = [500, 1_000];
/// How long news is collected before it is pushed.
const COLLECT_MS: u64 = 20;
/// The peers that a node asks as soon as it knows some.
const FIRST_PEERS: usize = 3;
/// How often a node asks its first peers when none of them answers.
const ASK_ROUNDS: usize = 3;
/// How often a node without peers looks for them.
const LONELY_MS: u64 = 100;
/// The mean time between exchanges when the budget is low, as a multiple.
const SHED_FACTOR: u64 = 4;

/// Exchanges beats with a random peer time and again.
pub(crate) async fn run_sync(shared: Arc<Shared>) {
    for _ in 0..ASK_ROUNDS {
        find_peers(&shared).await;
        if ask(&shared).await {
            break;
        }
    }
    shared.asked.store(true, Ordering::Relaxed);
    shared.changed.send_modify(|version| *version += 1);
    loop {
        let mean = shared.settings.sync_ms;
        let ms = rand::rng().random_range(mean / 2..=mean + mean / 2);
        sleep(Duration::from_millis(ms)).await;
        if !allowed(&shared, ControlWork::Sync) && !rand::rng().random_ratio(1, SHED_FACTOR as u32)
        {
            shared.state().counts.shed_sync += 1;
            continue;
        }
        let peers = shared.state().roster.random_peers(1, &mut rand::rng());
        for peer in peers {
            sync(&shared, peer).await;
        }
    }
}

/// Waits until the list of instances names peers.
async fn find_peers(shared: &Shared) {
    while shared
        .state()
        .roster
        .random_peers(1, &mut rand::rng())
        .is_empty()
    {
        sleep(Duration::from_millis(LONELY_MS)).await;
    }
}

/// Asks several peers at once; returns whether one answered.
async fn ask(shared: &Shared) -> bool {
    let peers = shared
        .state()
        .roster
        .random_peers(FIRST_PEERS, &mut rand::rng());
    let exchanges = peers.into_iter().map(|peer| sync(shared, peer));
    join_all(exchanges).await.contains(&true)
}

/// Exchanges beats with `peer`; returns whether it answered.
async fn sync(shared: &Shared, peer: SocketAddr) -> bool {
    match client::sync(shared, peer, shared.beat()).await {
        Ok(beat) if beat.is_valid() => {
            shared.take_in(beat, peer);
            return true;
        }
        Ok(_) => shared.state().counts.invalid += 1,
        Err(_) => shared.state().counts.peer_errors += 1,
    }
    false
}

/// Pushes news to a few random peers whenever there is some.
pub(crate) async fn run_push(shared: Arc<Shared>) {
    let mut pushed = shared.state().heads();
    loop {
        shared.flush.notified().await;
        sleep(Duration::from_millis(COLLECT_MS)).await;
        let beat = news(&shared);
        let gossip = std::mem::take(&mut shared.state().fresh);
        let urgent = beat.heads != pushed || beat.notes.len() > 1;
        if !urgent && !gossip {
            continue;
        }
        if !urgent && !allowed(&shared, ControlWork::Gossip) {
            shared.state().counts.shed_gossip += 1;
            continue;
        }
        pushed = beat.heads;
        push(&shared, &beat);
        if urgent {
            spawn_local(repeat(Arc::clone(&shared), beat));
        }
    }
}

/// Pushes news again to other peers, since a single round misses one node in fifty.
///
/// Notes keep their first ages plus the time since; heads that were replaced go with the news
/// that replaced them.
async fn repeat(shared: Arc<Shared>, mut beat: Beat) {
    for ms in REPEATS_MS {
        sleep(Duration::from_millis(ms)).await;
        for note in &mut beat.notes {
            note.age_ms = note.age_ms.saturating_add(ms as u32);
        }
        let heads = shared.state().heads();
        if beat.heads != heads && beat.notes.len() == 1 {
            return;
        }
        beat.heads = heads;
        push(&shared, &beat);
    }
}

fn push(shared: &Arc<Shared>, beat: &Beat) {
    let fanout = shared.settings.fanout;
    let peers = shared.state().roster.random_peers(fanout, &mut rand::rng());
    for peer in peers {
        let shared = Arc::clone(shared);
        let beat = beat.clone();
        spawn_local(async move {
            if client::push(&shared, peer, beat).await.is_err() {
                shared.state().counts.peer_errors += 1;
            }
        });
    }
}

/// Returns a beat with the notes that wait to be passed on in place of random ones.
fn news(shared: &Shared) -> Beat {
    let mut beat = shared.beat();
    beat.notes.truncate(1);
    let mut state = shared.state();
    let count = state.news.len().min(NOTES_MAX - 1);
    beat.notes.extend(state.news.drain(..count));
    if !state.news.is_empty() {
        shared.flush.notify_one();
    }
    beat
}

fn allowed(shared: &Shared, work: ControlWork) -> bool {
    let now = shared.clock.now();
    shared.state().budget.allows(now, work)
}
