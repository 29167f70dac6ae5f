//! The backend servers that one ingress uses, chosen by rendezvous hashing.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::keys::ZoneKey;
use crate::tracked_server::Candidate;

/// Returns the positions of the candidates that the ingress `node` in `zone` uses.
///
/// Up to half of `size` come from the ingress's own availability zone and the rest from all
/// others, so that load can spill. A `size` of zero selects everything. The result depends
/// only on the arguments' content, and a change of one candidate changes at most one member
/// of each half.
pub(crate) fn select_subset(
    candidates: &[Candidate],
    node_hash: u64,
    zone: ZoneKey,
    size: u32,
) -> SmallVec<[usize; 16]> {
    let size = size as usize;
    if size == 0 || candidates.len() <= size {
        return (0..candidates.len()).collect();
    }
    let mut ranked: SmallVec<[usize; 16]> = (0..candidates.len()).collect();
    ranked.sort_unstable_by_key(|&i| {
        let rank = rendezvous_rank(node_hash, candidates[i].id_hash);
        (std::cmp::Reverse(rank), candidates[i].id_hash)
    });
    let is_own = |&i: &usize| candidates[i].zone == zone;
    let (own, other): (Vec<usize>, Vec<usize>) = ranked.iter().copied().partition(is_own);
    let others = other.len().min(size / 2);
    let owns = own.len().min(size - others);
    let mut subset = SmallVec::new();
    subset.extend_from_slice(&own[..owns]);
    subset.extend_from_slice(&other[..size - owns]);
    subset.sort_unstable();
    subset
}

/// Returns the rank of a backend server for an ingress; the highest ranks are used.
pub(crate) fn rendezvous_rank(node_hash: u64, id_hash: u64) -> u64 {
    xxh3_64_with_seed(&id_hash.to_le_bytes(), node_hash)
}
