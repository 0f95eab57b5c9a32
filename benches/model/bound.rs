//! Lower bound of load stalls without prefetching.

use std::collections::{BTreeMap, BTreeSet};

use super::SLOTS;
use super::traffic::Traffic;

/// Cache misses per 1,000 requests that arrive at or after `warmup_end`, for one cache with
/// the slots of all engines, instant loads, no pins and optimal replacement: the adapter whose
/// next use is furthest in the future is evicted.
pub fn optimal_miss_rate(traffic: &Traffic, engines: usize, warmup_end: u64) -> f64 {
    let requests = &traffic.requests;
    let mut next_use = vec![usize::MAX; requests.len()];
    let mut next_by_adapter = BTreeMap::new();
    for (i, request) in requests.iter().enumerate().rev() {
        next_use[i] = next_by_adapter.insert(request.adapter, i).unwrap_or(usize::MAX);
    }
    let mut uses: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut cached: BTreeMap<usize, usize> = BTreeMap::new();
    let (mut misses, mut count) = (0u64, 0u64);
    for (i, request) in requests.iter().enumerate() {
        let hit = match cached.insert(request.adapter, next_use[i]) {
            Some(use_at) => uses.remove(&(use_at, request.adapter)),
            None => false,
        };
        uses.insert((next_use[i], request.adapter));
        if cached.len() > engines * SLOTS
            && let Some((_, furthest)) = uses.pop_last()
        {
            cached.remove(&furthest);
        }
        count += u64::from(request.at >= warmup_end);
        misses += u64::from(request.at >= warmup_end && !hit);
    }
    misses as f64 * 1e3 / count.max(1) as f64
}
