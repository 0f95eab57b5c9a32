//! Lower bound of load stalls without prefetching.

use std::collections::{BTreeMap, BTreeSet};

use super::SLOTS;
use super::traffic::Traffic;

/// Requests per 1,000 after `warm` that find their adapter absent in one cache of all slots
/// with instant loads, no pins and clairvoyant replacement (furthest next use).
pub fn clairvoyant(traffic: &Traffic, engines: usize, warm: u64) -> f64 {
    let requests = &traffic.requests;
    let mut next = vec![usize::MAX; requests.len()];
    let mut seen = BTreeMap::new();
    for (i, request) in requests.iter().enumerate().rev() {
        next[i] = seen.insert(request.adapter, i).unwrap_or(usize::MAX);
    }
    let mut uses: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut cached: BTreeMap<usize, usize> = BTreeMap::new();
    let (mut misses, mut count) = (0u64, 0u64);
    for (i, request) in requests.iter().enumerate() {
        let hit = match cached.insert(request.adapter, next[i]) {
            Some(use_at) => uses.remove(&(use_at, request.adapter)),
            None => false,
        };
        uses.insert((next[i], request.adapter));
        if cached.len() > engines * SLOTS
            && let Some((_, furthest)) = uses.pop_last()
        {
            cached.remove(&furthest);
        }
        count += u64::from(request.at >= warm);
        misses += u64::from(request.at >= warm && !hit);
    }
    misses as f64 * 1e3 / count.max(1) as f64
}
