//! Pulls newer values from the peers that offer them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolering::{Assembly, Digest, Document, DocumentError, Section};
use tarpc::context::Context;
use tokio::time::sleep;

use super::client::{answer, exchange};
use super::error::PeerError;
use super::message::{ANSWER_BYTES, DIGESTS_MAX, Kind, PeerClient};
use super::state::Shared;

/// How long a pull waits while the budget is used up.
const DELAY_MS: u64 = 1_000;
/// The time of a pull, as a multiple of that of another exchange.
const PULL_FACTOR: u64 = 2;

/// Pulls offers of one kind until the control part ends.
pub(crate) async fn run(shared: Arc<Shared>, kind: Kind) {
    loop {
        if shared.state().offers[kind.index()].is_empty() {
            shared.offered[kind.index()].notified().await;
        }
        delay(&shared).await;
        let Some((head, control)) = shared.state().next_offer(kind) else {
            continue;
        };
        tokio::select! {
            pulled = pull(&shared, kind, control) => take(&shared, kind, pulled).await,
            () = overtaken(&shared, kind, head.revision) => {}
        }
        shared.state().pulling[kind.index()] = 0;
    }
}

async fn take(shared: &Arc<Shared>, kind: Kind, pulled: Result<Document, PeerError>) {
    match pulled {
        Ok(document) => {
            shared.install(kind, document).await;
        }
        Err(_) => shared.state().counts.peer_errors += 1,
    }
}

/// Waits until `revision` is in force, which a read may bring before the pull.
async fn overtaken(shared: &Shared, kind: Kind, revision: u64) {
    let mut changed = shared.changed.subscribe();
    while shared.state().relays[kind.index()].head().revision < revision {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Waits once when the budget is used up, so that a burst of revisions costs one pull.
async fn delay(shared: &Shared) {
    if is_spent(shared) {
        sleep(Duration::from_millis(DELAY_MS)).await;
    }
}

/// Returns whether the budget is used up, and counts it.
fn is_spent(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let mut state = shared.state();
    let spent = state.budget.percent(now) == 0;
    state.counts.delayed += u64::from(spent);
    spent
}

async fn pull(shared: &Shared, kind: Kind, address: SocketAddr) -> Result<Document, PeerError> {
    let ms = shared.settings.peer_ms * PULL_FACTOR;
    exchange(shared, address, ms, async |client, context| {
        let manifest = client.manifest(context, kind).await;
        let manifest = answer(address, manifest.map(Ok))?;
        let broken = |error: DocumentError| PeerError::Exchange {
            address,
            reason: error.to_string(),
        };
        let mut assembly = {
            let state = shared.state();
            let base = state.relays[kind.index()].document();
            Assembly::new(manifest.head, manifest.sections, base).map_err(broken)?
        };
        for batch in batches(&assembly.missing()) {
            let contents = fetch(&client, context, kind, address, batch).await?;
            for (digest, packed) in contents {
                assembly.add_section(digest, &packed).map_err(broken)?;
            }
        }
        assembly.finish().map_err(broken)
    })
    .await
}

async fn fetch(
    client: &PeerClient,
    context: Context,
    kind: Kind,
    address: SocketAddr,
    digests: Vec<Digest>,
) -> Result<Vec<(Digest, Vec<u8>)>, PeerError> {
    let contents = client.sections(context, kind, digests).await;
    let contents = answer(address, contents)?;
    let pairs = contents
        .into_iter()
        .map(|content| (content.digest, content.packed));
    Ok(pairs.collect())
}

/// Divides sections into requests that each fit into one answer.
fn batches(missing: &[Section]) -> Vec<Vec<Digest>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut total = 0;
    for section in missing {
        let len = section.len as usize;
        if batch.len() == DIGESTS_MAX || total + len > ANSWER_BYTES {
            batches.push(std::mem::take(&mut batch));
            total = 0;
        }
        batch.push(section.digest);
        total += len;
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
