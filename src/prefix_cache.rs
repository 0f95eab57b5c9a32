//! View of an endpoint's prefix cache from its events.
//!
//! Events arrive late, out of order and with gaps. Each block keeps the sequence number of
//! the event that decided its state, so that a late event never overrides a newer one. While
//! a number is missing the view is doubtful: a block may have been removed unnoticed.

use std::collections::BTreeSet;

use crate::ids::Map;

/// Most missing numbers that are waited for; a longer gap needs a reset.
const MAX_MISSING: u64 = 1_024;

/// Most blocks that the view holds; beyond it, it starts again empty.
const MAX_BLOCKS: usize = 65_536;

/// What happened in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixEvent {
    /// The block with this hash is cached.
    Stored(u64),
    /// The block with this hash is not cached any more.
    Removed(u64),
    /// No block is cached.
    Cleared,
}

/// Blocks that an endpoint's prefix cache holds, as far as the events tell.
#[derive(Clone, Debug, Default)]
pub struct PrefixView {
    blocks: Map<u64, (u64, bool)>,
    last: u64,
    floor: u64,
    missing: BTreeSet<u64>,
    lost: bool,
}

impl PrefixView {
    /// An empty view; the first event has number 1.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts again empty after a restart; the next event has number `seq + 1`.
    pub fn reset(&mut self, seq: u64) {
        *self = Self { last: seq, floor: seq, ..Self::default() };
    }

    /// Applies an event; a repeated one, or one from before a reset, has no effect.
    pub fn on_event(&mut self, seq: u64, event: PrefixEvent) {
        if seq > self.last {
            let gap = seq - self.last - 1;
            if gap + self.missing.len() as u64 > MAX_MISSING {
                self.lost = true;
                self.missing.clear();
            } else {
                self.missing.extend(self.last + 1..seq);
            }
            self.last = seq;
        } else if !self.missing.remove(&seq) {
            return;
        }
        match event {
            PrefixEvent::Stored(block) => self.set(seq, block, true),
            PrefixEvent::Removed(block) => self.set(seq, block, false),
            PrefixEvent::Cleared => {
                self.floor = self.floor.max(seq);
                self.blocks.retain(|_, (at, _)| *at > seq);
            }
        }
        if self.missing.is_empty() && !matches!(event, PrefixEvent::Stored(_)) {
            // Removals are remembered only for late events that they override.
            self.blocks.retain(|_, (_, cached)| *cached);
        }
    }

    /// Whether an event is missing, so that the view may name blocks that are gone.
    pub fn doubtful(&self) -> bool {
        self.lost || !self.missing.is_empty()
    }

    /// Number of leading blocks that are cached; half of them while the view is doubtful.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        let held = |b: &&u64| self.blocks.get(*b).is_some_and(|(_, cached)| *cached);
        let count = blocks.iter().take_while(held).count();
        if self.doubtful() { count / 2 } else { count }
    }

    fn set(&mut self, seq: u64, block: u64, cached: bool) {
        if seq <= self.floor {
            return;
        }
        if self.blocks.len() >= MAX_BLOCKS {
            self.blocks.clear();
            self.lost = true;
        }
        let entry = self.blocks.entry(block).or_insert((seq, cached));
        if entry.0 <= seq {
            *entry = (seq, cached);
        }
    }
}
