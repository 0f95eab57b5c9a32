//! View of an endpoint's prefix cache, built from the cache's events.
//!
//! Events arrive late, out of order and with gaps. Each block keeps the sequence number of
//! the event that set its state, so that a late event never overrides a newer one. While a
//! sequence number is missing, the view is incomplete: a cached block may have been removed.

use std::collections::BTreeSet;

use crate::ids::Map;

/// Maximum number of missing events that may still arrive; a longer gap needs a reset.
const MAX_MISSING_EVENTS: u64 = 1_024;

/// Maximum number of blocks in the view; when it is exceeded, the view is cleared.
const MAX_CACHED_BLOCKS: usize = 65_536;

/// Change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixEvent {
    /// The block with this hash was cached.
    Stored(u64),
    /// The block with this hash was removed from the cache.
    Removed(u64),
    /// All blocks were removed.
    Cleared,
}

/// Blocks in an endpoint's prefix cache, according to the events received.
#[derive(Clone, Debug, Default)]
pub struct PrefixView {
    /// Sequence number of the last event of a block, and whether the block is cached.
    blocks: Map<u64, (u64, bool)>,
    last_seq: u64,
    /// Sequence number up to which events no longer change a block.
    cleared_at: u64,
    missing: BTreeSet<u64>,
    /// Whether the view stays incomplete until the next reset.
    events_lost: bool,
}

impl PrefixView {
    /// Creates an empty view; the first event has sequence number 1.
    pub fn new() -> Self {
        Self::default()
    }

    /// Clears the view after a restart; the next event has sequence number `seq + 1`.
    pub fn reset(&mut self, seq: u64) {
        *self = Self { last_seq: seq, cleared_at: seq, ..Self::default() };
    }

    /// Applies an event. A repeated event, or one from before a reset, has no effect.
    pub fn on_event(&mut self, seq: u64, event: PrefixEvent) {
        if seq > self.last_seq {
            let gap = seq - self.last_seq - 1;
            if gap + self.missing.len() as u64 > MAX_MISSING_EVENTS {
                self.events_lost = true;
                self.missing.clear();
            } else {
                self.missing.extend(self.last_seq + 1..seq);
            }
            self.last_seq = seq;
        } else if !self.missing.remove(&seq) {
            return;
        }
        match event {
            PrefixEvent::Stored(block) => self.set(seq, block, true),
            PrefixEvent::Removed(block) => self.set(seq, block, false),
            PrefixEvent::Cleared => {
                self.cleared_at = self.cleared_at.max(seq);
                self.blocks.retain(|_, (at, _)| *at > seq);
            }
        }
        if self.missing.is_empty() && !matches!(event, PrefixEvent::Stored(_)) {
            // Removed blocks are kept only while a late event could wrongly add them again.
            self.blocks.retain(|_, (_, cached)| *cached);
        }
    }

    /// Returns whether an event is missing, so that the view may contain removed blocks.
    pub fn incomplete(&self) -> bool {
        self.events_lost || !self.missing.is_empty()
    }

    /// Returns the number of leading `blocks` that are cached; half of it while the view is
    /// incomplete.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        let held = |b: &&u64| self.blocks.get(*b).is_some_and(|(_, cached)| *cached);
        let count = blocks.iter().take_while(held).count();
        if self.incomplete() { count / 2 } else { count }
    }

    fn set(&mut self, seq: u64, block: u64, cached: bool) {
        if seq <= self.cleared_at {
            return;
        }
        if self.blocks.len() >= MAX_CACHED_BLOCKS {
            self.blocks.clear();
            self.events_lost = true;
        }
        let entry = self.blocks.entry(block).or_insert((seq, cached));
        if entry.0 <= seq {
            *entry = (seq, cached);
        }
    }
}
